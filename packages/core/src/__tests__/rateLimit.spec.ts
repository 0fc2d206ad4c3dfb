import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { RateLimit } from '../admission/rateLimit.js';
import { createAdmission } from '../admission/targetAdmission.js';
import type { Importance } from '../configuration/configuration.js';
import { ManualClock } from '../runtime/manualClock.js';

const WINDOW_MS = 4000;

function createLimitedAdmission(callsPerSecond: number) {
  const clock = new ManualClock();
  const admission = createAdmission({
    clock,
    settings: { limit: 'fixed', slots: 100, objective: 'goodput' },
  });
  admission.setRateLimit(callsPerSecond);
  const started: { name: string; at: number }[] = [];
  const enter = async (name: string, importance: Importance = 'normal'): Promise<void> => {
    const permit = await admission.enter({
      importance,
      caller: name,
      deadlineAt: clock.now() + 5000,
      signal: new AbortController().signal,
      minRemainingMs: 10,
    });
    if (permit.isErr()) return;
    started.push({ name, at: clock.now() });
    await clock.sleep(50);
    permit.value.release('completed');
  };
  return { clock, admission, started, enter };
}

test('in any 4 s no more calls start than the rate limit permits, whatever their arrival', async () => {
  const property = fc.asyncProperty(
    fc.double({ min: 1, max: 200, noNaN: true }),
    fc.array(fc.record({ pauseMs: fc.nat(3000), calls: fc.nat(120) }), { maxLength: 12 }),
    async (callsPerSecond, bursts) => {
      const { clock, started, enter } = createLimitedAdmission(callsPerSecond);
      const entered: Promise<void>[] = [];
      for (const { pauseMs, calls } of bursts) {
        await clock.advance(pauseMs);
        for (let call = 0; call < calls; call++) entered.push(enter(`caller-${call}`));
      }
      await clock.advance(2000);
      await Promise.all(entered);
      const permitted = Math.max(1, callsPerSecond * 0.2) + (callsPerSecond * WINDOW_MS) / 1000;
      started.forEach(({ at: start }) => {
        const inWindow = started.filter(({ at }) => at >= start && at < start + WINDOW_MS);
        assert.ok(inWindow.length <= permitted + 1e-6, `${inWindow.length} of ${permitted}`);
      });
    },
  );
  await fc.assert(property, { numRuns: 60, seed: 21 });
});

test('the calls that a rate limit permits are given to the most important ones', async () => {
  const { clock, started, enter } = createLimitedAdmission(10);
  const entered: Promise<void>[] = [];
  for (let tick = 0; tick < 500; tick++) {
    entered.push(enter(`low-${tick}`, 'low'));
    if (tick % 12 === 0) entered.push(enter(`critical-${tick}`, 'critical'));
    await clock.advance(20);
  }
  await clock.advance(2000);
  await Promise.all(entered);
  const critical = started.filter(({ name }) => name.startsWith('critical')).length;
  assert.equal(critical, 42);
  // The permitted rate is used in full.
  assert.ok(started.length >= 95, `${started.length} calls started`);
});

test('without a limit any more, queued calls start at once', async () => {
  const { clock, admission, started, enter } = createLimitedAdmission(1);
  const entered = Array.from({ length: 2 }, (_, call) => enter(`caller-${call}`));
  await clock.advance(10);
  assert.equal(started.length, 0);
  admission.setRateLimit(undefined);
  await clock.advance(100);
  await Promise.all(entered);
  assert.equal(started.length, 2);
  assert.deepEqual(admission.load(), { inFlight: 0, waiting: 0, limit: 100 });
});

test('a limit of zero still lets one call through every two seconds, which may end it', async () => {
  const { clock, started, enter } = createLimitedAdmission(0);
  const entered: Promise<void>[] = [];
  for (let tick = 0; tick < 100; tick++) {
    entered.push(enter(`caller-${tick}`));
    await clock.advance(100);
  }
  await clock.advance(2000);
  await Promise.all(entered);
  assert.ok(started.length >= 4 && started.length <= 6, `${started.length} calls started`);
});

test('a suspended process does not start more than a burst when it continues', async () => {
  const clock = new ManualClock();
  const limit = new RateLimit(clock);
  limit.set(100);
  await clock.advance(60_000);
  let permitted = 0;
  while (limit.waitMs() === 0) {
    limit.take();
    permitted += 1;
  }
  assert.equal(permitted, 20);
});
