import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { LimitBounds } from '../admission/adaptiveLimit.js';
import { AimdLimit } from '../admission/aimdLimit.js';
import type { ConcurrencyLimit } from '../admission/concurrencyLimit.js';
import { GradientLimit } from '../admission/gradientLimit.js';
import { VegasLimit } from '../admission/vegasLimit.js';

const SLOTS = 8;
const SERVICE_MS = 20;
const MINIMUM = 2;
const bounds: LimitBounds = { initial: 2, rampCeiling: SLOTS, minimum: MINIMUM, maximum: 80 };
const algorithms: Record<string, () => ConcurrencyLimit> = {
  aimd: () => new AimdLimit(bounds),
  gradient: () => new GradientLimit(bounds),
  vegas: () => new VegasLimit(bounds),
};

/** A target with an internal queue, called as often as the limit allows. */
class BusyTarget {
  now = 0;

  serviceMs = SERVICE_MS;

  private readonly slotsFreeAt = new Array<number>(SLOTS).fill(0);

  private readonly running: { startedAt: number; endsAt: number }[] = [];

  constructor(
    private readonly limit: ConcurrencyLimit,
    private readonly demand = Infinity,
  ) {}

  /** Runs until `calls` calls have ended. */
  run(calls: number): void {
    for (let ended = 0; ended < calls; ended++) {
      while (this.running.length < Math.min(this.limit.current(), this.demand)) this.begin();
      this.endNext();
    }
  }

  private begin(): void {
    const startAt = Math.max(this.now, this.slotsFreeAt.shift() as number);
    const endsAt = startAt + this.serviceMs;
    this.slotsFreeAt.push(endsAt);
    this.slotsFreeAt.sort((one, other) => one - other);
    this.running.push({ startedAt: this.now, endsAt });
    this.running.sort((one, other) => one.endsAt - other.endsAt);
  }

  private endNext(): void {
    const call = this.running.shift() as { startedAt: number; endsAt: number };
    this.now = call.endsAt;
    const totalMs = this.now - call.startedAt;
    const inFlight = this.running.length + 1;
    this.limit.observe({ at: this.now, totalMs, selfMs: totalMs, inFlight, outcome: 'completed' });
  }
}

Object.entries(algorithms).forEach(([algorithm, create]) => {
  test(`${algorithm}: a limit in use ramps up to the slots and stays within twice their number`, () => {
    const limit = create();
    const target = new BusyTarget(limit);
    target.run(500);
    for (let step = 0; step < 50; step++) {
      target.run(400);
      assert.ok(
        limit.baseLimit() >= SLOTS / 2 && limit.baseLimit() <= 2 * SLOTS,
        `${limit.baseLimit()}`,
      );
    }
  });

  test(`${algorithm}: a limit that is not reached does not grow`, () => {
    const limit = create();
    new BusyTarget(limit, 1).run(1000);
    assert.equal(limit.baseLimit(), bounds.initial);
  });

  test(`${algorithm}: the limit of a target that becomes permanently slower recovers`, () => {
    const limit = create();
    const target = new BusyTarget(limit);
    target.run(1000);
    target.serviceMs = 10 * SERVICE_MS;
    target.run(60);
    assert.ok(limit.baseLimit() >= SLOTS / 2, `${limit.baseLimit()}`);
  });

  test(`${algorithm}: refusals of the target reduce the limit, but not below its minimum`, () => {
    const limit = create();
    const target = new BusyTarget(limit);
    target.run(500);
    const before = limit.baseLimit();
    const refused = { totalMs: 1, selfMs: 1, inFlight: 1, outcome: 'targetRefused' } as const;
    for (let call = 0; call < 100; call++) limit.observe({ at: target.now + call, ...refused });
    assert.ok(before > MINIMUM);
    assert.equal(limit.baseLimit(), MINIMUM);
  });
});
