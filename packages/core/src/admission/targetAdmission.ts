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
import type { Clock } from '../runtime/clock.js';
import type { ConcurrencyLimit } from './concurrencyLimit.js';
import { ExpectedService } from './expectedService.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { FixedLimit } from './fixedLimit.js';
import { ResultCode } from '../runtime/resultCode.js';
import type { ResultNumber } from '../runtime/resultCode.js';
import { PRIORITY_COUNT, ShedLevel, priorityOf } from './shedLevel.js';
import { UnlimitedLimit } from './unlimitedLimit.js';

import { AdmissionQueue } from './admissionQueue.js';
import type { Waiter } from './admissionQueue.js';

/** What admission is built from. */
export interface AdmissionParts {
  clock: Clock;
  settings: AdmissionSettings;
  /** Makes the adaptive limit; to weigh one way against another. */
  adaptiveLimit?: AdaptiveLimitFactory;
}

/** Makes an adaptive limit within bounds. */
export type AdaptiveLimitFactory = (bounds: LimitBounds) => ConcurrencyLimit;

const MIN_LIMIT = 2;
/** Share of the slots that a cold target is given at first. */
const COLD_START_SHARE = 0.25;
/** Most that an adaptive limit may be, in multiples of the slots. */
const MAX_SLOTS_MULTIPLE = 10;
const MIN_ROOM = 2;
/** A call is begun only while its remaining time is this multiple of the expected service time. */
const HEADROOM = 1.1;
/** Least share of the limit that the waiting room holds. */
const MIN_ROOM_SHARE = 0.5;
/** Least and most time between adjustments of the level, in milliseconds. */
const MIN_LEVEL_STEP_MS = 100;
const MAX_LEVEL_STEP_MS = 500;
/** Service times that a step covers at least, as slots come free in bunches. */
const LEVEL_STEP_SERVICES = 1.5;
/** Arrivals from which on a busy target's level is adjusted. */
const LEVEL_STEP_ARRIVALS = 10;
/** Steps that are caught up with at most after a quiet time. */
const MAX_STEPS_BEHIND = 50;

/** A call with what bounds the time of its start. */
interface TimedCall {
  deadlineAt: number;
  minRemainingMs?: number | undefined;
}

interface WaitingCall extends Waiter {
  enteredAt: number;
  minRemainingMs: number | undefined;
  downstreamShedLevel: () => number;
  settle(result: Result<Permit, Failure>): void;
}

const messages = new Map<ResultNumber, string>([
  [ResultCode.notRunShed, 'the target is overloaded; try again later'],
  [ResultCode.notRunQueueTimeout, 'no slot became free in time; try again later'],
  [ResultCode.notRunDeadline, 'too little time is left for the call; allow it more'],
  [ResultCode.notRunCancelled, 'the caller has gone; nothing is to be done'],
  [ResultCode.notRunDraining, 'the target is leaving; send the call to another'],
]);

function refusal(code: ResultNumber): Err<Failure> {
  return Err(createFailure(code, messages.get(code) ?? 'the call was not run'));
}

class TargetAdmission implements Admission {
  private limit: ConcurrencyLimit;

  private readonly queue = new AdmissionQueue<WaitingCall>();

  private readonly expected = new ExpectedService();

  private readonly level: ShedLevel;

  private readonly clock: Clock;

  private settings: AdmissionSettings;

  private inFlight = 0;

  private closed = false;

  private refusedCalls = 0;

  private admittedCalls = 0;

  private steppedAt: number;

  constructor(private readonly parts: AdmissionParts) {
    this.clock = parts.clock;
    this.settings = parts.settings;
    this.limit = this.createLimit();
    this.level = new ShedLevel(profileOf(parts.settings.objective).pace);
    this.steppedAt = this.clock.now();
  }

  enter(request: AdmissionRequest): Promise<Result<Permit, Failure>> {
    const priority = priorityOf(request.importance, request.caller);
    this.stepLevel();
    const refused = this.refuseAtOnce(request, priority);
    if (refused) return Promise.resolve(refused);
    this.level.countArrival(priority);
    if (this.queue.size === 0 && this.inFlight < this.limit.current()) {
      return Promise.resolve(Ok(this.grant(this.clock.now())));
    }
    return this.wait(request, priority);
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
    this.level.setPace(profileOf(settings.objective).pace);
    const same = before.limit === settings.limit && before.slots === settings.slots;
    if (!same) this.limit = this.createLimit();
    this.admitWaiting();
  }

  close(): void {
    this.closed = true;
    this.queue
      .takeWhere(() => true)
      .forEach((call) => this.refuse(call, ResultCode.notRunDraining));
  }

  private createLimit(): ConcurrencyLimit {
    const { limit, slots } = this.settings;
    if (limit === 'none') return new UnlimitedLimit();
    if (limit === 'fixed') return new FixedLimit(slots);
    const bounds = {
      initial: Math.max(MIN_LIMIT, Math.ceil(slots * COLD_START_SHARE)),
      rampTo: slots,
      minimum: MIN_LIMIT,
      maximum: Math.max(MIN_LIMIT, slots * MAX_SLOTS_MULTIPLE),
    };
    return this.parts.adaptiveLimit?.(bounds) ?? new AimdLimit(bounds);
  }

  private refuseAtOnce(request: AdmissionRequest, priority: number): Err<Failure> | undefined {
    if (this.closed) return refusal(ResultCode.notRunDraining);
    if (request.signal.aborted) return refusal(ResultCode.notRunCancelled);
    if (this.isTooLate(request)) return refusal(ResultCode.notRunDeadline);
    if (priority < (request.downstreamShedLevel?.() ?? 0)) return refusal(ResultCode.notRunShed);
    return undefined;
  }

  private isTooLate(call: TimedCall): boolean {
    return this.clock.now() >= this.latestStart(call);
  }

  /** Past this time the answer could not reach the caller before its deadline. */
  private latestStart({ deadlineAt, minRemainingMs }: TimedCall): number {
    if (this.settings.limit === 'none') return deadlineAt;
    if (minRemainingMs !== undefined) return deadlineAt - minRemainingMs;
    return deadlineAt - HEADROOM * this.expected.at(this.clock.now());
  }

  private wait(request: AdmissionRequest, priority: number): Promise<Result<Permit, Failure>> {
    return new Promise((resolve) => {
      const call = this.createWaitingCall(request, priority, resolve);
      this.queue.add(call);
      this.queue.takeOver(this.roomCapacity()).forEach((lowest) => {
        this.refuseForPressure(lowest, ResultCode.notRunShed);
      });
    });
  }

  private createWaitingCall(
    request: AdmissionRequest,
    priority: number,
    resolve: (result: Result<Permit, Failure>) => void,
  ): WaitingCall {
    const { deadlineAt, minRemainingMs, signal } = request;
    const enteredAt = this.clock.now();
    const watch = new AbortController();
    const call: WaitingCall = {
      // Work was done for a call of a tree that has begun; it would be lost with the call.
      priority: request.isChildCall ? priority + PRIORITY_COUNT : priority,
      deadlineAt,
      minRemainingMs,
      enteredAt,
      downstreamShedLevel: request.downstreamShedLevel ?? (() => 0),
      settle: (result) => {
        watch.abort();
        resolve(result);
      },
    };
    const timer = this.clock.startTimer(this.longestWait(call), () => this.giveUp(call));
    watch.signal.addEventListener('abort', () => timer.cancel());
    signal.addEventListener('abort', () => this.leave(call), { signal: watch.signal });
    return call;
  }

  private longestWait(call: TimedCall): number {
    const { maxWaitMs } = profileOf(this.settings.objective);
    return Math.min(maxWaitMs, this.latestStart(call) - this.clock.now());
  }

  /** As many calls as the wait allows, but never so few that a slot stays empty. */
  private roomCapacity(): number {
    const { roomPerLimit, fullRoomMs } = profileOf(this.settings.objective);
    const limit = this.limit.settled();
    const perLimit = Math.max(MIN_ROOM_SHARE, fullRoomMs / this.expected.at(this.clock.now()));
    return Math.max(MIN_ROOM, Math.ceil(limit * Math.min(roomPerLimit, perLimit)));
  }

  /** The caller has gone. */
  private leave(call: WaitingCall): void {
    if (this.queue.remove(call)) this.refuse(call, ResultCode.notRunCancelled);
  }

  /** The wait was too long. Whoever is of a lower place has even less to hope for. */
  private giveUp(call: WaitingCall): void {
    if (!this.queue.remove(call)) return;
    if (this.isTooLate(call)) {
      this.refuse(call, ResultCode.notRunDeadline);
      return;
    }
    this.refuseForPressure(call, ResultCode.notRunQueueTimeout);
    this.queue
      .takeWhere((other) => other.priority < call.priority)
      .forEach((other) => this.refuseForPressure(other, ResultCode.notRunShed));
  }

  private refuseForPressure(call: WaitingCall, code: ResultNumber): void {
    this.refusedCalls += 1;
    this.refuse(call, code);
  }

  // eslint-disable-next-line class-methods-use-this
  private refuse(call: WaitingCall, code: ResultNumber): void {
    call.settle(refusal(code));
  }

  private grant(enteredAt: number): Permit {
    const startedAt = this.clock.now();
    this.inFlight += 1;
    this.admittedCalls += 1;
    let held = true;
    return {
      waitedMs: startedAt - enteredAt,
      release: (outcome, belowMs = 0) => {
        if (!held) return;
        held = false;
        this.finish(startedAt, outcome, belowMs);
      },
    };
  }

  private finish(startedAt: number, outcome: Outcome, belowMs: number): void {
    const at = this.clock.now();
    const totalMs = at - startedAt;
    const ownMs = Math.max(0, totalMs - belowMs);
    if (outcome === 'completed') this.expected.observe(totalMs, at);
    this.limit.observe({ at, totalMs, ownMs, inFlight: this.inFlight, outcome });
    this.inFlight -= 1;
    this.stepLevel();
    this.admitWaiting();
  }

  private admitWaiting(): void {
    this.refuseBelowLevels();
    while (this.inFlight < this.limit.current()) {
      const call = this.queue.takeNext();
      if (!call) return;
      if (this.isTooLate(call)) this.refuse(call, ResultCode.notRunDeadline);
      else call.settle(Ok(this.grant(call.enteredAt)));
    }
  }

  /** What would be refused further down is not begun here. */
  private refuseBelowLevels(): void {
    this.queue
      .takeWhere((call) => call.priority < call.downstreamShedLevel())
      .forEach((call) => this.refuse(call, ResultCode.notRunShed));
  }

  /** Under pressure a step waits for enough arrivals to judge by. */
  private levelStepMs(): number {
    const pressed = this.refusedCalls > 0 || this.queue.size > 0;
    const tooFew = this.level.arrivals() < LEVEL_STEP_ARRIVALS;
    if (pressed && tooFew) return MAX_LEVEL_STEP_MS;
    const servicesMs = LEVEL_STEP_SERVICES * this.expected.at(this.clock.now());
    return Math.min(MAX_LEVEL_STEP_MS, Math.max(MIN_LEVEL_STEP_MS, servicesMs));
  }

  /** Catches up with the steps of the level that have come due. */
  private stepLevel(): void {
    const stepMs = this.levelStepMs();
    const due = Math.floor((this.clock.now() - this.steppedAt) / stepMs);
    if (due <= 0) return;
    this.steppedAt = this.clock.now();
    for (let step = 0; step < Math.min(due, MAX_STEPS_BEHIND); step++) {
      this.level.step({
        waiting: this.queue.size,
        room: this.roomCapacity(),
        admitted: this.admittedCalls,
        refused: this.refusedCalls,
        used: this.inFlight / this.limit.settled(),
      });
      this.refusedCalls = 0;
      this.admittedCalls = 0;
    }
  }
}

/** Makes the admission of one target. */
export function createAdmission(parts: AdmissionParts): Admission {
  return new TargetAdmission(parts);
}
