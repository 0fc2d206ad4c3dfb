import { MIN_CALLS_PER_SECOND } from '../admission/rateLimit.js';
import type { Clock } from '../runtime/clock.js';
import type { KnownTarget, TargetDirectory } from '../directory/targetDirectory.js';
import type { TargetRecord } from '../directory/targetRecord.js';
import type { HopResponse, TargetLoad, TargetRateLimit } from '../forwarding/hopMessages.js';
import type { RandomSource } from '../runtime/random.js';
import { ResultCode } from '../runtime/resultCode.js';

/** Share of a target's limit up to which requests are expected to start without queueing. */
const NO_WAIT_UTILISATION = 0.85;
/** Cost of a target in another data centre, in milliseconds of expected wait. */
const REMOTE_COST_MS = 10;
/** Cost of a target that is still warming up, in milliseconds of expected wait. */
const COLD_START_COST_MS = 20;
/** Age above which a reported load is ignored, in milliseconds. */
const MAX_LOAD_AGE_MS = 1000;
/**
 * Time for which a target is avoided after a failed connection, in milliseconds. It doubles with each
 * further failure, as each attempt delays a request and a lost host stays in the directory for long.
 */
const AVOID_UNREACHABLE_MS = 1000;
const MAX_AVOID_UNREACHABLE_MS = 4000;
/** Time for which a target is avoided after its daemon was unresponsive, in milliseconds. */
const AVOID_UNRESPONSIVE_MS = 500;
/**
 * Time for which a target is avoided after its daemon reported that it is draining, in milliseconds,
 * unless its record changes before.
 */
const AVOID_DRAINING_MS = 2500;

/** Cost of a target that refuses all requests, in milliseconds of expected wait. */
const REFUSAL_COST_MS = 200;
/** Weight of the newest response in the moving average of refusals. */
const NEWEST_REFUSAL_WEIGHT = 0.1;

/**
 * Time for which a reported rate limit makes a target more expensive, in milliseconds. Without requests
 * this daemon would not learn that the limit no longer applies.
 */
const MAX_RATE_LIMIT_AGE_MS = 3000;
/** Time for which the rate limit of a target is kept while its record is missing, in milliseconds. */
const RATE_LIMIT_RETENTION_MS = 60_000;
const MS_PER_S = 1000;

/** Load that a target's daemon reported with its last response. */
interface LoadReport {
  load: TargetLoad;
  /** When the report was received, on the monotonic clock, in milliseconds. */
  receivedAt: number;
  /** Requests of this daemon outstanding at the target when the report was received. */
  outstanding: number;
}

/** Rate limit that a target's daemon reported. */
interface RateLimitReport {
  rateLimit: TargetRateLimit;
  /** Incarnation of the daemon that reported it. */
  incarnation: string;
  /** When it was last reported, on the monotonic clock, in milliseconds. */
  receivedAt: number;
}

/** State of a target as seen by this daemon. */
interface TargetView {
  /** Requests that this daemon sent to the target and that have not ended. */
  outstanding: number;
  loadReport: LoadReport | undefined;
  rateLimitReport: RateLimitReport | undefined;
  /** The target is avoided until then, on the monotonic clock, in milliseconds. */
  avoidUntil: number;
  /** Failed connections to the target's daemon since its last response. */
  failedConnections: number;
  /** The record that was known when the target was reported as draining. */
  drainingRecord: TargetRecord | undefined;
  /** Share of the recent responses that were refusals by the target itself. */
  refusalShare: number;
  /** Incarnation of the target's daemon in its responses, if it differs from the directory's. */
  reportedIncarnation: string | undefined;
  /** Incarnation in the directory when the differing one was reported. */
  replacedIncarnation: string | undefined;
}

/** Options of `TargetPlacement`. */
export interface PlacementOptions {
  clock: Clock;
  random: RandomSource;
  directory: TargetDirectory;
  dataCentre: string;
}

/** The rate limit of a target that is known after a response of its daemon. */
function rateLimitReportAfter(
  { code, rateLimit, incarnation }: HopResponse,
  before: RateLimitReport | undefined,
  now: number,
): RateLimitReport | undefined {
  if (rateLimit) return { rateLimit, incarnation, receivedAt: now };
  // A daemon that has just started does not know the limit before its target has responded.
  const hasTargetResponded = code === ResultCode.ok || code === ResultCode.notRunTargetRefused;
  return hasTargetResponded ? undefined : before;
}

/** Time until a further request may start because of the target's rate limit, in milliseconds. */
function rateLimitWaitMs(view: TargetView, waiting: number, now: number): number {
  const report = view.rateLimitReport;
  if (!report || now - report.receivedAt > MAX_RATE_LIMIT_AGE_MS) return 0;
  const { requestsPerSecond } = report.rateLimit;
  return ((waiting + 1) * MS_PER_S) / Math.max(MIN_CALLS_PER_SECOND, requestsPerSecond);
}

/**
 * Chooses the target of a request: the cheapest of two random targets in the same data centre and
 * two in others. The cost of a target in another data centre includes `REMOTE_COST_MS`.
 */
export class TargetPlacement {
  private readonly views = new Map<string, TargetView>();

  constructor(private readonly options: PlacementOptions) {}

  /** True when at least one target of `service` is ready. */
  hasReadyTarget(service: string): boolean {
    return this.options.directory.targetsOf(service).some(({ record }) => record.state === 'ready');
  }

  /** A target of `service` that is not in `tried` and not shedding, or undefined. */
  choose(
    service: string,
    tried: ReadonlySet<string>,
    isShedding: (key: string) => boolean,
  ): KnownTarget | undefined {
    const now = this.options.clock.now();
    const available: KnownTarget[] = [];
    const avoided: KnownTarget[] = [];
    this.options.directory.targetsOf(service).forEach((target) => {
      const { key, record } = target;
      if (record.state !== 'ready' || tried.has(key) || isShedding(key)) return;
      (this.isAvoided(target, now) ? avoided : available).push(target);
    });
    return this.cheapest(available.length > 0 ? available : avoided);
  }

  private isAvoided({ key, record }: KnownTarget, now: number): boolean {
    const view = this.views.get(key);
    if (!view || view.avoidUntil <= now) return false;
    return view.drainingRecord === undefined || view.drainingRecord === record;
  }

  /** Incarnation of the target's daemon, from its responses if the directory's is out of date. */
  incarnationOf(target: KnownTarget): string {
    const view = this.viewOf(target.key);
    const { incarnation } = target.record;
    return view.reportedIncarnation !== undefined && view.replacedIncarnation === incarnation
      ? view.reportedIncarnation
      : incarnation;
  }

  /**
   * Rate limit of the target that its daemon reported before a restart, and may have lost by it;
   * undefined if the running daemon reported it.
   */
  rateLimitOfFormerIncarnation(target: KnownTarget): TargetRateLimit | undefined {
    const report = this.views.get(target.key)?.rateLimitReport;
    if (!report || report.incarnation === this.incarnationOf(target)) return undefined;
    return report.rateLimit;
  }

  /** Records the start of a request to the target. */
  begin(target: KnownTarget): void {
    this.viewOf(target.key).outstanding += 1;
  }

  /** Records the end of a request to the target. */
  end(target: KnownTarget): void {
    this.viewOf(target.key).outstanding -= 1;
  }

  /** Records load, refusal and incarnation from a response of the target's daemon. */
  recordResponse(target: KnownTarget, response: HopResponse): void {
    const view = this.viewOf(target.key);
    const now = this.options.clock.now();
    view.failedConnections = 0;
    view.drainingRecord = undefined;
    view.loadReport = { load: response.load, receivedAt: now, outstanding: view.outstanding };
    if (response.leavingRun) this.options.directory.recordLeaving(target.key, response.leavingRun);
    view.rateLimitReport = rateLimitReportAfter(response, view.rateLimitReport, now);
    if (response.reached) {
      const refusal = response.code === ResultCode.notRunTargetRefused ? 1 : 0;
      view.refusalShare += NEWEST_REFUSAL_WEIGHT * (refusal - view.refusalShare);
    }
    if (response.code !== ResultCode.notRunDraining) {
      this.options.directory.recordContact(target.key, response.incarnation);
    }
    if (response.incarnation !== '' && response.incarnation !== target.record.incarnation) {
      view.reportedIncarnation = response.incarnation;
      view.replacedIncarnation = target.record.incarnation;
    }
  }

  /** Avoids a target for a time: it is draining, or its daemon does not know it. */
  recordDraining(target: KnownTarget): void {
    const view = this.viewOf(target.key);
    view.avoidUntil = this.options.clock.now() + AVOID_DRAINING_MS;
    view.drainingRecord = target.record;
  }

  /** Avoids a target for a time: its daemon could not be reached. */
  recordUnreachable(target: KnownTarget): void {
    const view = this.viewOf(target.key);
    const avoidMs = AVOID_UNREACHABLE_MS * 2 ** view.failedConnections;
    view.failedConnections += 1;
    view.avoidUntil = this.options.clock.now() + Math.min(MAX_AVOID_UNREACHABLE_MS, avoidMs);
    view.drainingRecord = undefined;
  }

  /**
   * Avoids the targets of an unresponsive daemon for a time. After a power or network failure of a
   * host its connections time out much later. The targets are still used when no others are left.
   */
  recordUnresponsive(address: string, callPort: number): void {
    const until = this.options.clock.now() + AVOID_UNRESPONSIVE_MS;
    this.options.directory.all().forEach(({ key, record }) => {
      if (record.address !== address || record.callPort !== callPort) return;
      const view = this.viewOf(key);
      view.avoidUntil = Math.max(view.avoidUntil, until);
      view.drainingRecord = undefined;
    });
  }

  /** Removes the state of targets that are no longer in the directory. */
  sweep(): void {
    const known = new Set(this.options.directory.all().map(({ key }) => key));
    const limitedSince = this.options.clock.now() - RATE_LIMIT_RETENTION_MS;
    this.views.forEach((view, key) => {
      const isLimited = (view.rateLimitReport?.receivedAt ?? -Infinity) >= limitedSince;
      if (!known.has(key) && view.outstanding === 0 && !isLimited) this.views.delete(key);
    });
  }

  private cheapest(targets: KnownTarget[]): KnownTarget | undefined {
    const local: KnownTarget[] = [];
    const remote: KnownTarget[] = [];
    targets.forEach((target) => {
      (target.record.dataCentre === this.options.dataCentre ? local : remote).push(target);
    });
    const candidates = [...this.sample(local, 2), ...this.sample(remote, 2)];
    let best: KnownTarget | undefined;
    let bestCost = Infinity;
    candidates.forEach((target) => {
      const cost = this.costOf(target);
      if (cost >= bestCost) return;
      best = target;
      bestCost = cost;
    });
    return best;
  }

  /** Random targets in random order, so that equal costs spread requests over all of them. */
  private sample(targets: KnownTarget[], count: number): KnownTarget[] {
    if (targets.length < count) return targets;
    const first = Math.floor(this.options.random.next() * targets.length);
    const step = 1 + Math.floor(this.options.random.next() * (targets.length - 1));
    const second = (first + step) % targets.length;
    return [targets[first] as KnownTarget, targets[second] as KnownTarget];
  }

  /**
   * Expected wait at a target plus its additional costs, in milliseconds. The share of the limit or
   * slots in use is added, which decides between targets with equal waits.
   */
  private costOf(target: KnownTarget): number {
    const { record, key } = target;
    const view = this.viewOf(key);
    const now = this.options.clock.now();
    const remoteCost = record.dataCentre === this.options.dataCentre ? 0 : REMOTE_COST_MS;
    const refusalCost = view.refusalShare * REFUSAL_COST_MS;
    const coldCost = record.warmAt > this.options.clock.date().getTime() ? COLD_START_COST_MS : 0;
    const fixedCost = remoteCost + coldCost + refusalCost;
    const { loadReport } = view;
    if (!loadReport || now - loadReport.receivedAt > MAX_LOAD_AGE_MS) {
      const rateWaitMs = rateLimitWaitMs(view, view.outstanding, now);
      return fixedCost + rateWaitMs + view.outstanding / record.slots;
    }
    const { load } = loadReport;
    const startedSince = Math.max(0, view.outstanding - loadReport.outstanding);
    const expectedLoad = load.inFlight + load.waiting + startedSince;
    const rateWaitMs = rateLimitWaitMs(view, load.waiting + startedSince, now);
    const waitMs =
      (Math.max(0, expectedLoad + 1 - NO_WAIT_UTILISATION * load.limit) * load.serviceMs) /
      load.limit;
    return fixedCost + Math.max(waitMs, rateWaitMs) + expectedLoad / load.limit;
  }

  private viewOf(key: string): TargetView {
    let view = this.views.get(key);
    if (!view) {
      view = {
        outstanding: 0,
        loadReport: undefined,
        rateLimitReport: undefined,
        avoidUntil: 0,
        failedConnections: 0,
        drainingRecord: undefined,
        refusalShare: 0,
        reportedIncarnation: undefined,
        replacedIncarnation: undefined,
      };
      this.views.set(key, view);
    }
    return view;
  }
}
