import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AttemptRegistry } from '../forwarding/attemptRegistry.js';
import { retryAfterMs } from '../forwarding/retryAfter.js';
import { ManualClock } from '../runtime/manualClock.js';
import { createSeededRandom } from '../runtime/random.js';
import { RetryBudget } from '../attempts/retryBudget.js';

test('an attempt that waits can be voided and never begins', () => {
  const attempts = new AttemptRegistry(new ManualClock());
  assert.equal(attempts.arrive('a', 1000), true);
  assert.equal(attempts.void('a'), 'voided');
  assert.equal(attempts.begin('a'), false);
});

test('an attempt that has begun cannot be voided, also after it ended', async () => {
  const clock = new ManualClock();
  const attempts = new AttemptRegistry(clock);
  attempts.arrive('a', 1000);
  assert.equal(attempts.begin('a'), true);
  await clock.advance(2500);
  assert.equal(attempts.void('a'), 'begun');
});

test('an attempt that was voided before it came is refused when it comes', async () => {
  const clock = new ManualClock();
  const attempts = new AttemptRegistry(clock);
  assert.equal(attempts.void('a'), 'voided');
  await clock.advance(30_000);
  assert.equal(attempts.arrive('a', 1000), false);
});

test('callers come back within a third of their time, the urgent ones earlier', () => {
  const random = createSeededRandom(7);
  const waits = (rank: number): number[] =>
    Array.from({ length: 500 }, () => retryAfterMs(3000, rank, random));
  const mean = (list: number[]): number => list.reduce((sum, wait) => sum + wait, 0) / list.length;
  const urgent = waits(0);
  const patient = waits(2);
  assert.ok(Math.max(...urgent, ...patient) <= 1000);
  assert.ok(mean(urgent) < mean(patient));
  assert.ok(new Set(urgent).size > 100, 'returns are spread');
});

test('a caller without time left is told to come back at once', () => {
  assert.equal(retryAfterMs(-5, 0, createSeededRandom(1)), 0);
});

test('part of the retry budget is kept for the most important requests', () => {
  const budget = new RetryBudget(new ManualClock(), 0.2, 0);
  for (let call = 0; call < 1000; call++) budget.recordCall('books');
  const retriesWith = (share: number): number => {
    let made = 0;
    while (budget.tryRetry('books', share)) made += 1;
    return made;
  };
  assert.equal(retriesWith(0.2), 40);
  assert.equal(retriesWith(0.2), 0);
  assert.equal(retriesWith(1), 160);
});
