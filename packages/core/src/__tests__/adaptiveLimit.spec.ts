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
const bounds: LimitBounds = { initial: 2, rampTo: SLOTS, minimum: MINIMUM, maximum: 80 };
const ways: Record<string, () => ConcurrencyLimit> = {
  aimd: () => new AimdLimit(bounds),
  gradient: () => new GradientLimit(bounds),
  vegas: () => new VegasLimit(bounds),
};

/** A target with a queue inside, kept as busy as the limit allows. */
class BusyTarget {
  now = 0;

  serviceMs = SERVICE_MS;

  private readonly slotsFreeAt = new Array<number>(SLOTS).fill(0);

  private readonly running: { startedAt: number; endsAt: number }[] = [];

  constructor(
    private readonly limit: ConcurrencyLimit,
    private readonly demand = Infinity,
  ) {}

  /** Runs so many calls to their end. */
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
    this.limit.observe({ at: this.now, totalMs, ownMs: totalMs, inFlight, outcome: 'completed' });
  }
}

Object.entries(ways).forEach(([way, create]) => {
  test(`${way}: a used limit ramps to the slots and stays within twice as many`, () => {
    const limit = create();
    const target = new BusyTarget(limit);
    target.run(500);
    for (let step = 0; step < 50; step++) {
      target.run(400);
      assert.ok(limit.settled() >= SLOTS / 2 && limit.settled() <= 2 * SLOTS, `${limit.settled()}`);
    }
  });

  test(`${way}: a limit that is not used does not grow`, () => {
    const limit = create();
    new BusyTarget(limit, 1).run(1000);
    assert.equal(limit.settled(), bounds.initial);
  });

  test(`${way}: a target that is slower for good is not strangled`, () => {
    const limit = create();
    const target = new BusyTarget(limit);
    target.run(1000);
    target.serviceMs = 10 * SERVICE_MS;
    target.run(60);
    assert.ok(limit.settled() >= SLOTS / 2, `${limit.settled()}`);
  });

  test(`${way}: refusals of the target cut the limit, never below its minimum`, () => {
    const limit = create();
    const target = new BusyTarget(limit);
    target.run(500);
    const before = limit.settled();
    const refused = { totalMs: 1, ownMs: 1, inFlight: 1, outcome: 'targetRefused' } as const;
    for (let call = 0; call < 100; call++) limit.observe({ at: target.now + call, ...refused });
    assert.ok(before > MINIMUM);
    assert.equal(limit.settled(), MINIMUM);
  });
});
