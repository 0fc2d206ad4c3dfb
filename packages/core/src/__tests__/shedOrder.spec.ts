import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { Admission, AdmissionSettings, Permit } from '../admission/admission.js';
import { importances } from '../configuration/configuration.js';
import type { Importance } from '../configuration/configuration.js';
import { ManualClock } from '../runtime/manualClock.js';
import { ResultCode } from '../runtime/resultCode.js';
import type { ResultNumber } from '../runtime/resultCode.js';
import { priorityOf } from '../admission/shedLevel.js';
import { createAdmission } from '../admission/targetAdmission.js';

const SEED = 20261204;
const PATIENCE_MS = 800;
const TARGET_SLOTS = 2;
const overloadCodes: ResultNumber[] = [ResultCode.notRunShed, ResultCode.notRunQueueTimeout];

interface Arrival {
  importance: Importance;
  caller: string;
  /** Time since the previous arrival. */
  afterMs: number;
  serviceMs: number;
  /** Time after which the caller cancels the call; undefined when it does not. */
  cancelAfterMs: number | undefined;
}

interface CallInSession {
  id: number;
  priority: number;
  rank: number;
  state: 'waiting' | 'running' | 'ended';
  code: ResultNumber | undefined;
}

const arrivals = fc.array(
  fc.record({
    importance: fc.constantFrom(...importances),
    caller: fc.integer({ min: 0, max: 40 }).map((number) => `caller-${number}`),
    afterMs: fc.integer({ min: 0, max: 15 }),
    serviceMs: fc.integer({ min: 5, max: 60 }),
    cancelAfterMs: fc.option(fc.integer({ min: 1, max: 300 }), { nil: undefined, freq: 8 }),
  }),
  { minLength: 20, maxLength: 120 },
);

/** Drives one admission and checks the order of importance at each rejection and each start. */
class AdmissionSession {
  readonly calls: CallInSession[] = [];

  readonly clock = new ManualClock();

  readonly admission: Admission;

  readonly faults: string[] = [];

  private readonly slotsFreeAt = new Array<number>(TARGET_SLOTS).fill(0);

  constructor(private readonly settings: AdmissionSettings) {
    this.admission = createAdmission({ clock: this.clock, settings });
  }

  async run(pattern: Arrival[]): Promise<void> {
    for (const arrival of pattern) {
      await this.clock.advance(arrival.afterMs);
      this.start(arrival);
    }
    await this.clock.advance(20 * PATIENCE_MS);
  }

  private start(arrival: Arrival): void {
    const priority = priorityOf(arrival.importance, arrival.caller);
    const call: CallInSession = {
      id: this.calls.length,
      priority,
      rank: -importances.indexOf(arrival.importance),
      state: 'waiting',
      code: undefined,
    };
    this.calls.push(call);
    const cancellation = new AbortController();
    if (arrival.cancelAfterMs !== undefined) {
      this.clock.startTimer(arrival.cancelAfterMs, () => cancellation.abort());
    }
    const deadlineAt = this.clock.now() + PATIENCE_MS;
    this.admission
      .enter({ ...arrival, deadlineAt, signal: cancellation.signal })
      .then((result) => {
        if (result.isOk()) this.begin(call, arrival, result.value, cancellation.signal, deadlineAt);
        else this.reject(call, result.error.code);
      })
      .catch((error: unknown) => this.faults.push(String(error)));
  }

  private begin(
    call: CallInSession,
    arrival: Arrival,
    permit: Permit,
    signal: AbortSignal,
    deadlineAt: number,
  ): void {
    this.update(call, { state: 'running', code: ResultCode.ok });
    assert.ok(!signal.aborted, 'started after its caller cancelled it');
    assert.ok(this.clock.now() < deadlineAt, 'started after its deadline');
    const running = this.calls.filter(({ state }) => state === 'running').length;
    const load = this.admission.load();
    assert.ok(this.settings.limit !== 'fixed' || running <= load.limit, 'over the limit');
    const passedOver = this.waiting().filter(({ rank }) => rank > call.rank);
    assert.deepEqual(passedOver, [], `${call.id} was admitted before a more important call`);
    this.clock.startTimer(this.timeAtTarget(arrival.serviceMs), () => {
      this.update(call, { state: 'ended' });
      permit.release('completed');
    });
  }

  /** The target runs as many calls at once as it has slots; the others queue inside it. */
  private timeAtTarget(serviceMs: number): number {
    const now = this.clock.now();
    const startAt = Math.max(now, this.slotsFreeAt.shift() ?? now);
    this.slotsFreeAt.push(startAt + serviceMs);
    this.slotsFreeAt.sort((one, other) => one - other);
    return startAt + serviceMs - now;
  }

  private reject(call: CallInSession, code: ResultNumber): void {
    this.update(call, { state: 'ended', code });
    if (!overloadCodes.includes(code)) return;
    // Calls rejected in the same tick have settled by then.
    setImmediate(() => {
      const queued = this.waiting().filter(({ priority }) => priority < call.priority);
      if (queued.length > 0) this.faults.push(`${call.id} was shed in favour of ${queued[0]?.id}`);
    });
  }

  private update(call: CallInSession, changes: Partial<CallInSession>): void {
    this.calls[call.id] = { ...(this.calls[call.id] as CallInSession), ...changes };
  }

  private waiting(): CallInSession[] {
    return this.calls.filter(({ state }) => state === 'waiting');
  }
}

const limits: AdmissionSettings['limit'][] = ['fixed', 'adaptive'];
for (const limit of limits) {
  for (const objective of ['goodput', 'recovery'] as const) {
    test(`${limit} limit, ${objective}: no call is shed in favour of one of lower priority`, async () => {
      const property = fc.asyncProperty(arrivals, async (pattern) => {
        const session = new AdmissionSession({ limit, slots: TARGET_SLOTS, objective });
        await session.run(pattern);
        const { inFlight, waiting } = session.admission.load();
        assert.deepEqual({ inFlight, waiting }, { inFlight: 0, waiting: 0 });
        assert.deepEqual(session.faults, []);
        assert.ok(session.calls.every(({ code }) => code !== undefined));
      });
      await fc.assert(property, { seed: SEED, numRuns: 30 });
    });
  }
}

/** Calls of all importances in turn, at twice the throughput of the target. */
function steadyOverload(milliseconds: number): Arrival[] {
  const count = milliseconds / 5;
  return Array.from({ length: count }, (_, index) => ({
    importance: importances[index % importances.length] as Importance,
    caller: `caller-${index % 31}`,
    afterMs: 5,
    serviceMs: 20,
    cancelAfterMs: undefined,
  }));
}

test('all calls of the highest importance run while their demand alone fits the target', async () => {
  for (const limit of limits) {
    const session = new AdmissionSession({ limit, slots: TARGET_SLOTS, objective: 'goodput' });
    await session.run(steadyOverload(3000));
    assert.deepEqual(session.faults, []);
    const critical = session.calls.filter(({ rank }) => rank === 0);
    assert.ok(critical.every(({ code }) => code === ResultCode.ok));
    assert.ok(session.calls.some(({ code }) => code === ResultCode.notRunShed));
  }
});
