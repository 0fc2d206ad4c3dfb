import type { Clock } from '../runtime/clock.js';
import type { KnownTarget, TargetDirectory } from '../directory/targetDirectory.js';
import type { HopResponse, TargetLoad } from '../forwarding/hopMessages.js';
import type { RandomSource } from '../runtime/random.js';
import { ResultCode } from '../runtime/resultCode.js';

/** Share of the slots up to which a target is taken to answer without a wait. */
const COMFORTABLE_SHARE = 0.85;
/** What a target in another data centre must save, in milliseconds, to be preferred. */
const DISTANCE_COST_MS = 10;
/** What a target that has just started must save to be preferred, in milliseconds. */
const COLD_COST_MS = 20;
/** Age beyond which a reported load is not used, in milliseconds. */
const MAX_LOAD_AGE_MS = 1000;
/** Time that a target is avoided after a failed connection, in milliseconds. */
const AVOID_UNREACHABLE_MS = 1000;
/** Time that a target is avoided after its daemon was found silent, in milliseconds. */
const AVOID_SILENT_MS = 500;
/** Time that a target is avoided after it said that it is leaving, in milliseconds. */
const AVOID_LEAVING_MS = 400;

/** What a target that refuses all that it is sent must save to be preferred, in milliseconds. */
const REFUSAL_COST_MS = 200;
/** Weight of the newest answer in the share of refusals. */
const REFUSAL_WEIGHT = 0.1;

/** Load of a target as this daemon last heard of it. */
interface Reported {
  load: TargetLoad;
  at: number;
  /** Own requests in flight at the time. */
  ownThen: number;
}

interface View {
  own: number;
  reported: Reported | undefined;
  avoidUntil: number;
  /** Share of its recent answers that were refusals of the target itself. */
  refusals: number;
  /** Run of the daemon beside the target, where its answers told of a newer one. */
  incarnation: string | undefined;
  /** Run that the directory knew when the newer one was told of. */
  replaced: string | undefined;
}

/** What placing needs. */
export interface PlacementOptions {
  clock: Clock;
  random: RandomSource;
  directory: TargetDirectory;
  dataCentre: string;
}

/**
 * Chooses the target of a request: in the same data centre unless the wait expected there exceeds
 * that of one of two others by more than the distance costs.
 */
export class TargetPlacement {
  private readonly views = new Map<string, View>();

  constructor(private readonly options: PlacementOptions) {}

  /** True when a target of `service` serves. */
  hasReadyTarget(service: string): boolean {
    return this.options.directory.of(service).some(({ record }) => record.state === 'ready');
  }

  /** A target of `service` that is not in `tried` and not shedding, or undefined. */
  choose(
    service: string,
    tried: ReadonlySet<string>,
    isShedding: (key: string) => boolean,
  ): KnownTarget | undefined {
    const ready = this.options.directory
      .of(service)
      .filter(({ key, record }) => record.state === 'ready' && !tried.has(key) && !isShedding(key));
    const now = this.options.clock.now();
    const sound = ready.filter(({ key }) => this.viewOf(key).avoidUntil <= now);
    return this.cheapest(sound.length > 0 ? sound : ready);
  }

  /** Run of the daemon beside a target, as last heard. */
  incarnationOf(target: KnownTarget): string {
    const view = this.viewOf(target.key);
    const { incarnation } = target.record;
    return view.incarnation !== undefined && view.replaced === incarnation
      ? view.incarnation
      : incarnation;
  }

  /** A request goes to the target. */
  begin(target: KnownTarget): void {
    this.viewOf(target.key).own += 1;
  }

  /** A request to the target has ended. */
  end(target: KnownTarget): void {
    this.viewOf(target.key).own -= 1;
  }

  /** Takes in what the daemon beside the target told. */
  recordResponse(target: KnownTarget, response: HopResponse): void {
    const view = this.viewOf(target.key);
    const now = this.options.clock.now();
    view.reported = { load: response.load, at: now, ownThen: view.own };
    if (response.reached) {
      const refused = response.code === ResultCode.notRunTargetRefused ? 1 : 0;
      view.refusals += REFUSAL_WEIGHT * (refused - view.refusals);
    }
    if (response.incarnation !== '' && response.incarnation !== target.record.incarnation) {
      view.incarnation = response.incarnation;
      view.replaced = target.record.incarnation;
    }
  }

  /** The target is leaving, or its daemon does not know it. */
  recordDraining(target: KnownTarget): void {
    this.viewOf(target.key).avoidUntil = this.options.clock.now() + AVOID_LEAVING_MS;
  }

  /** The daemon beside the target could not be reached. */
  recordUnreachable(target: KnownTarget): void {
    this.viewOf(target.key).avoidUntil = this.options.clock.now() + AVOID_UNREACHABLE_MS;
  }

  /**
   * The daemon at this address answers no sign of life. Answers a host that lost its power or its
   * network: it is avoided long before its connections time out, and asked again when all others
   * are worse.
   */
  recordUnresponsive(address: string, callPort: number): void {
    const until = this.options.clock.now() + AVOID_SILENT_MS;
    this.options.directory.all().forEach(({ key, record }) => {
      if (record.address !== address || record.callPort !== callPort) return;
      const view = this.viewOf(key);
      view.avoidUntil = Math.max(view.avoidUntil, until);
    });
  }

  /** Forgets targets that the directory no longer knows. */
  sweep(): void {
    const known = new Set(this.options.directory.all().map(({ key }) => key));
    this.views.forEach((view, key) => {
      if (!known.has(key) && view.own === 0) this.views.delete(key);
    });
  }

  private cheapest(targets: KnownTarget[]): KnownTarget | undefined {
    const near = targets.filter(({ record }) => record.dataCentre === this.options.dataCentre);
    const far = targets.filter(({ record }) => record.dataCentre !== this.options.dataCentre);
    const drawn = [...this.draw(near, 2), ...this.draw(far, 2)];
    let best: KnownTarget | undefined;
    let bestCost = Infinity;
    drawn.forEach((target) => {
      const cost = this.costOf(target);
      if (cost >= bestCost) return;
      best = target;
      bestCost = cost;
    });
    return best;
  }

  /** Targets in random order, so that equal costs do not send all to the same one. */
  private draw(targets: KnownTarget[], count: number): KnownTarget[] {
    if (targets.length < count) return targets;
    const first = Math.floor(this.options.random.next() * targets.length);
    const step = 1 + Math.floor(this.options.random.next() * (targets.length - 1));
    const second = (first + step) % targets.length;
    return [targets[first] as KnownTarget, targets[second] as KnownTarget];
  }

  /** Expected wait and extra cost of a target, in milliseconds. */
  private costOf(target: KnownTarget): number {
    const { record, key } = target;
    const view = this.viewOf(key);
    const now = this.options.clock.now();
    const distance = record.dataCentre === this.options.dataCentre ? 0 : DISTANCE_COST_MS;
    const refusing = view.refusals * REFUSAL_COST_MS;
    const cold = record.warmAt > this.options.clock.date().getTime() ? COLD_COST_MS : 0;
    const { reported } = view;
    if (!reported || now - reported.at > MAX_LOAD_AGE_MS) {
      return distance + cold + refusing + view.own / record.slots;
    }
    const { load } = reported;
    const there = load.inFlight + load.waiting + Math.max(0, view.own - reported.ownThen);
    const waitMs =
      (Math.max(0, there + 1 - COMFORTABLE_SHARE * load.limit) * load.serviceMs) / load.limit;
    return distance + cold + refusing + waitMs + there / load.limit;
  }

  private viewOf(key: string): View {
    let view = this.views.get(key);
    if (!view) {
      view = {
        own: 0,
        reported: undefined,
        avoidUntil: 0,
        refusals: 0,
        incarnation: undefined,
        replaced: undefined,
      };
      this.views.set(key, view);
    }
    return view;
  }
}
