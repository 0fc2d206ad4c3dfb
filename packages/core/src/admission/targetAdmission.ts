import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type {
  Admission,
  AdmissionRequest,
  AdmissionSettings,
  Outcome,
  Permit,
} from './admission.js';
import type { LimitBounds } from './adaptiveLimit.js';
import { profileOf } from './admissionProfile.js';
import { AimdLimit } from './aimdLimit.js';
import type { Clock, Timer } from '../runtime/clock.js';
import type { ConcurrencyLimit } from './concurrencyLimit.js';
import { ServiceTimeEstimate } from './serviceTimeEstimate.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { FixedLimit } from './fixedLimit.js';
import { RateLimit } from './rateLimit.js';
import { ResultCode } from '../runtime/resultCode.js';
import type { ResultNumber } from '../runtime/resultCode.js';
import { PRIORITIES_PER_IMPORTANCE, ShedLevel, priorityOf } from './shedLevel.js';
import { UnlimitedLimit } from './unlimitedLimit.js';

import { AdmissionQueue, outranks } from './admissionQueue.js';
import type { QueueEntry } from './admissionQueue.js';

/** Options of `createAdmission`. */
export interface AdmissionOptions {
  clock: Clock;
  settings: AdmissionSettings;
  /** Replaces the default adaptive limit, for example to compare algorithms. */
  adaptiveLimit?: AdaptiveLimitFactory;
}

/** Creates an adaptive limit within bounds. */
export type AdaptiveLimitFactory = (bounds: LimitBounds) => ConcurrencyLimit;

/** Lowest adaptive limit, in calls. */
const MIN_LIMIT = 2;
/** Initial adaptive limit of a cold target, as a share of its slots. */
const COLD_START_SHARE = 0.25;
/** Highest adaptive limit, in multiples of the slots. */
const MAX_SLOTS_MULTIPLE = 10;
/** Smallest capacity of the admission queue, in calls. */
const MIN_QUEUE_CAPACITY = 2;
/** A call is started only if its remaining time is at least this multiple of the service time. */
const MIN_REMAINING_SERVICE_TIMES = 1.1;
/** Smallest capacity of the admission queue, in multiples of the limit. */
const MIN_QUEUE_PER_LIMIT = 0.5;
/** Shortest time between steps of the shed level, in milliseconds. */
const MIN_LEVEL_STEP_MS = 100;
/** Longest time between steps of the shed level, in milliseconds. */
const MAX_LEVEL_STEP_MS = 500;
/** Shortest step in multiples of the service time: slots become free in bursts that far apart. */
const MIN_LEVEL_STEP_SERVICE_TIMES = 1.5;
/** Arrivals below which an overloaded target waits for the longest step. */
const MIN_LEVEL_STEP_ARRIVALS = 10;
/** Most steps that are made at once after a time without calls. */
const MAX_CATCH_UP_STEPS = 50;
const MS_PER_S = 1000;

/** The times that determine the latest start of a call. */
interface TimedCall {
  deadlineAt: number;
  minRemainingMs?: number | undefined;
}

/** A call in the admission queue. */
interface QueuedCall extends QueueEntry {
  /** When the call was queued, on the monotonic clock, in milliseconds. */
  enteredAt: number;
  minRemainingMs: number | undefined;
  downstreamShedLevel: () => number;
  settle(result: Result<Permit, Failure>): void;
}

const rejectionMessages = new Map<ResultNumber, string>([
  [ResultCode.notRunShed, 'the target is overloaded; try again later'],
  [ResultCode.notRunQueueTimeout, 'no slot became free within the queue timeout; try again later'],
  [
    ResultCode.notRunDeadline,
    'too little time remains for the call; send it with a longer deadline',
  ],
  [ResultCode.notRunCancelled, 'the caller cancelled the call before it was started'],
  [ResultCode.notRunDraining, 'the target is draining; send the call to another target'],
]);

/**
 * Ranks by importance, and child calls before root calls of the same importance: if a child call
 * fails, the work done for its call tree is lost. A more important request does not wait behind the
 * child calls of less important trees; those are to be shed at their root.
 */
function rankOf(priority: number, isChildCall: boolean): number {
  return 2 * Math.floor(priority / PRIORITIES_PER_IMPORTANCE) + (isChildCall ? 1 : 0);
}

function rejection(code: ResultNumber): Err<Failure> {
  return Err(createFailure(code, rejectionMessages.get(code) ?? 'the call was not run'));
}

/**
 * Admission by a concurrency limit, with a bounded queue in order of importance, and a shed level
 * below which callers do not send calls.
 */
class TargetAdmission implements Admission {
  private limit: ConcurrencyLimit;

  private readonly rateLimit: RateLimit;

  /** Fires when the rate limit permits the next queued call; undefined while none waits for it. */
  private rateTimer: Timer | undefined;

  private readonly queue = new AdmissionQueue<QueuedCall>();

  private readonly serviceTime = new ServiceTimeEstimate();

  private readonly level: ShedLevel;

  private readonly clock: Clock;

  private settings: AdmissionSettings;

  private inFlight = 0;

  private isClosed = false;

  private shedCalls = 0;

  private admittedCalls = 0;

  private levelSteppedAt: number;

  constructor(private readonly options: AdmissionOptions) {
    this.clock = options.clock;
    this.settings = options.settings;
    this.limit = this.createLimit();
    this.rateLimit = new RateLimit(options.clock);
    this.level = new ShedLevel(profileOf(options.settings.objective).shedLevelTuning);
    this.levelSteppedAt = this.clock.now();
  }

  enter(request: AdmissionRequest): Promise<Result<Permit, Failure>> {
    const priority = priorityOf(request.importance, request.caller);
    this.stepLevel();
    const rejected = this.rejectImmediately(request, priority);
    if (rejected) return Promise.resolve(rejected);
    this.level.countArrival(priority);
    const isFree = this.inFlight < this.limit.current() && this.rateLimit.waitMs() === 0;
    if (this.queue.size === 0 && isFree) {
      return Promise.resolve(Ok(this.grant(this.clock.now())));
    }
    return this.enqueue(request, priority);
  }

  shedLevel(): number {
    this.stepLevel();
    return this.level.current();
  }

  load() {
    return { inFlight: this.inFlight, waiting: this.queue.size, limit: this.limit.current() };
  }

  reconfigure(settings: AdmissionSettings): void {
    const before = this.settings;
    this.settings = settings;
    this.level.setTuning(profileOf(settings.objective).shedLevelTuning);
    const isSameLimit = before.limit === settings.limit && before.slots === settings.slots;
    if (!isSameLimit) this.limit = this.createLimit();
    this.admitQueued();
  }

  setRateLimit(callsPerSecond: number | undefined): void {
    this.rateLimit.set(callsPerSecond);
    this.rateTimer?.cancel();
    this.rateTimer = undefined;
    this.admitQueued();
  }

  close(): void {
    this.isClosed = true;
    this.queue
      .removeWhere(() => true)
      .forEach((call) => this.reject(call, ResultCode.notRunDraining));
  }

  private createLimit(): ConcurrencyLimit {
    const { limit, slots } = this.settings;
    if (limit === 'none') return new UnlimitedLimit();
    if (limit === 'fixed') return new FixedLimit(slots);
    const bounds = {
      initial: Math.max(MIN_LIMIT, Math.ceil(slots * COLD_START_SHARE)),
      rampCeiling: slots,
      minimum: MIN_LIMIT,
      maximum: Math.max(MIN_LIMIT, slots * MAX_SLOTS_MULTIPLE),
    };
    return this.options.adaptiveLimit?.(bounds) ?? new AimdLimit(bounds);
  }

  private rejectImmediately(request: AdmissionRequest, priority: number): Err<Failure> | undefined {
    if (this.isClosed) return rejection(ResultCode.notRunDraining);
    if (request.signal.aborted) return rejection(ResultCode.notRunCancelled);
    if (this.isTooLate(request)) return rejection(ResultCode.notRunDeadline);
    if (priority < (request.downstreamShedLevel?.() ?? 0)) return rejection(ResultCode.notRunShed);
    return undefined;
  }

  private isTooLate(call: TimedCall): boolean {
    return this.clock.now() >= this.latestStart(call);
  }

  /** A call that starts later could not respond before its deadline. */
  private latestStart({ deadlineAt, minRemainingMs }: TimedCall): number {
    if (this.settings.limit === 'none') return deadlineAt;
    if (minRemainingMs !== undefined) return deadlineAt - minRemainingMs;
    return deadlineAt - MIN_REMAINING_SERVICE_TIMES * this.serviceTime.at(this.clock.now());
  }

  private enqueue(request: AdmissionRequest, priority: number): Promise<Result<Permit, Failure>> {
    return new Promise((resolve) => {
      const call = this.createQueuedCall(request, priority, resolve);
      this.queue.add(call);
      this.queue.trimTo(this.queueCapacity()).forEach((lowest) => {
        this.shed(lowest, ResultCode.notRunShed);
      });
      if (this.inFlight < this.limit.current()) this.startRateTimer();
    });
  }

  private createQueuedCall(
    request: AdmissionRequest,
    priority: number,
    resolve: (result: Result<Permit, Failure>) => void,
  ): QueuedCall {
    const { deadlineAt, minRemainingMs, signal } = request;
    const enteredAt = this.clock.now();
    const cleanup = new AbortController();
    const call: QueuedCall = {
      priority,
      rank: rankOf(priority, request.isChildCall ?? false),
      deadlineAt,
      minRemainingMs,
      enteredAt,
      downstreamShedLevel: request.downstreamShedLevel ?? (() => 0),
      settle: (result) => {
        cleanup.abort();
        resolve(result);
      },
    };
    const timer = this.clock.startTimer(this.maxWaitMsOf(call), () => this.timeOut(call));
    cleanup.signal.addEventListener('abort', () => timer.cancel());
    signal.addEventListener('abort', () => this.cancel(call), { signal: cleanup.signal });
    return call;
  }

  private maxWaitMsOf(call: TimedCall): number {
    const { maxWaitMs } = profileOf(this.settings.objective);
    return Math.min(maxWaitMs, this.latestStart(call) - this.clock.now());
  }

  /** As many calls as the permitted wait allows, but enough to keep every slot in use. */
  private queueCapacity(): number {
    const { maxQueuePerLimit, fullQueueWaitMs } = profileOf(this.settings.objective);
    const limit = this.limit.baseLimit();
    const queuePerLimit = Math.max(
      MIN_QUEUE_PER_LIMIT,
      fullQueueWaitMs / this.serviceTime.at(this.clock.now()),
    );
    const callsPerSecond = this.rateLimit.current() ?? Infinity;
    return Math.max(
      MIN_QUEUE_CAPACITY,
      Math.ceil(
        Math.min(
          limit * Math.min(maxQueuePerLimit, queuePerLimit),
          (callsPerSecond * fullQueueWaitMs) / MS_PER_S,
        ),
      ),
    );
  }

  /** Rejects a queued call that its caller cancelled. */
  private cancel(call: QueuedCall): void {
    if (this.queue.remove(call)) this.reject(call, ResultCode.notRunCancelled);
  }

  /** Rejects a call that waited too long; sheds all that it outranks, which would wait longer. */
  private timeOut(call: QueuedCall): void {
    if (!this.queue.remove(call)) return;
    if (this.isTooLate(call)) {
      this.reject(call, ResultCode.notRunDeadline);
      return;
    }
    this.shed(call, ResultCode.notRunQueueTimeout);
    this.queue
      .removeWhere((other) => outranks(call, other))
      .forEach((other) => this.shed(other, ResultCode.notRunShed));
  }

  /** Rejects a call because of overload, which raises the shed level at its next step. */
  private shed(call: QueuedCall, code: ResultNumber): void {
    this.shedCalls += 1;
    this.reject(call, code);
  }

  // eslint-disable-next-line class-methods-use-this
  private reject(call: QueuedCall, code: ResultNumber): void {
    call.settle(rejection(code));
  }

  private grant(enteredAt: number): Permit {
    const startedAt = this.clock.now();
    this.rateLimit.take();
    this.inFlight += 1;
    this.admittedCalls += 1;
    let isHeld = true;
    return {
      queueTimeMs: startedAt - enteredAt,
      release: (outcome, downstreamMs = 0) => {
        if (!isHeld) return;
        isHeld = false;
        this.finish(startedAt, outcome, downstreamMs);
      },
    };
  }

  private finish(startedAt: number, outcome: Outcome, downstreamMs: number): void {
    const at = this.clock.now();
    const totalMs = at - startedAt;
    const selfMs = Math.max(0, totalMs - downstreamMs);
    if (outcome === 'completed') this.serviceTime.observe(totalMs, at);
    this.limit.observe({ at, totalMs, selfMs, inFlight: this.inFlight, outcome });
    this.inFlight -= 1;
    this.stepLevel();
    this.admitQueued();
  }

  private admitQueued(): void {
    this.rejectBelowDownstreamLevel();
    while (this.inFlight < this.limit.current()) {
      if (this.queue.size > 0 && this.rateLimit.waitMs() > 0) {
        this.startRateTimer();
        return;
      }
      const call = this.queue.takeNext();
      if (!call) return;
      if (this.isTooLate(call)) this.reject(call, ResultCode.notRunDeadline);
      else call.settle(Ok(this.grant(call.enteredAt)));
    }
  }

  private startRateTimer(): void {
    this.rateTimer ??= this.clock.startTimer(this.rateLimit.waitMs(), () => {
      this.rateTimer = undefined;
      this.admitQueued();
    });
  }

  /** Rejects queued calls below the downstream shed level, without counting them as shed here. */
  private rejectBelowDownstreamLevel(): void {
    this.queue
      .removeWhere((call) => call.priority < call.downstreamShedLevel())
      .forEach((call) => this.reject(call, ResultCode.notRunShed));
  }

  /** Time between steps of the shed level; under overload a step waits for enough arrivals. */
  private levelStepMs(): number {
    const isOverloaded = this.shedCalls > 0 || this.queue.size > 0;
    const hasFewArrivals = this.level.arrivals() < MIN_LEVEL_STEP_ARRIVALS;
    if (isOverloaded && hasFewArrivals) return MAX_LEVEL_STEP_MS;
    const serviceTimesMs = MIN_LEVEL_STEP_SERVICE_TIMES * this.serviceTime.at(this.clock.now());
    return Math.min(MAX_LEVEL_STEP_MS, Math.max(MIN_LEVEL_STEP_MS, serviceTimesMs));
  }

  /** Share of the capacity in use: of the slots, or of the calls that the rate limit permits. */
  private utilisation(elapsedMs: number): number {
    const slotShare = this.inFlight / this.limit.baseLimit();
    const callsPerSecond = this.rateLimit.current();
    if (callsPerSecond === undefined) return slotShare;
    return Math.max(slotShare, (this.admittedCalls * MS_PER_S) / (callsPerSecond * elapsedMs));
  }

  /** Makes all steps of the shed level that are due. */
  private stepLevel(): void {
    const stepMs = this.levelStepMs();
    const due = Math.floor((this.clock.now() - this.levelSteppedAt) / stepMs);
    if (due <= 0) return;
    const elapsedMs = this.clock.now() - this.levelSteppedAt;
    this.levelSteppedAt = this.clock.now();
    for (let step = 0; step < Math.min(due, MAX_CATCH_UP_STEPS); step++) {
      this.level.step({
        queued: this.queue.size,
        queueCapacity: this.queueCapacity(),
        admitted: this.admittedCalls,
        shed: this.shedCalls,
        utilisation: this.utilisation(elapsedMs),
      });
      this.shedCalls = 0;
      this.admittedCalls = 0;
    }
  }
}

/** Creates the admission control of one target. */
export function createAdmission(options: AdmissionOptions): Admission {
  return new TargetAdmission(options);
}
