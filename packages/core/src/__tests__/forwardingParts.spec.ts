import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AttemptRegistry } from '../forwarding/attemptRegistry.js';
import { retryAfterMs } from '../forwarding/retryAfter.js';
import { ManualClock } from '../runtime/manualClock.js';
import { createSeededRandom } from '../runtime/random.js';
import { RetryBudget } from '../attempts/retryBudget.js';

test('a waiting attempt can be voided and then never begins', () => {
  const attempts = new AttemptRegistry(new ManualClock());
  assert.equal(attempts.register('a', 1000), true);
  assert.equal(attempts.void('a'), 'voided');
  assert.equal(attempts.begin('a'), false);
});

test('an attempt that has begun cannot be voided, even after its deadline', async () => {
  const clock = new ManualClock();
  const attempts = new AttemptRegistry(clock);
  attempts.register('a', 1000);
  assert.equal(attempts.begin('a'), true);
  await clock.advance(2500);
  assert.equal(attempts.void('a'), 'begun');
});

test('an attempt voided before it arrives is rejected when it arrives', async () => {
  const clock = new ManualClock();
  const attempts = new AttemptRegistry(clock);
  assert.equal(attempts.void('a'), 'voided');
  await clock.advance(30_000);
  assert.equal(attempts.register('a', 1000), false);
});

test('retry-after is at most a third of the remaining time and shorter for more important calls', () => {
  const random = createSeededRandom(7);
  const waits = (rank: number): number[] =>
    Array.from({ length: 500 }, () => retryAfterMs(3000, rank, random));
  const mean = (list: number[]): number => list.reduce((sum, wait) => sum + wait, 0) / list.length;
  const important = waits(0);
  const unimportant = waits(2);
  assert.ok(Math.max(...important, ...unimportant) <= 1000);
  assert.ok(mean(important) < mean(unimportant));
  assert.ok(new Set(important).size > 100, 'waits are spread');
});

test('retry-after is 0 when no time remains', () => {
  assert.equal(retryAfterMs(-5, 0, createSeededRandom(1)), 0);
});

test('part of the retry budget is reserved for the most important requests', () => {
  const budget = new RetryBudget(new ManualClock(), 0.2, 0);
  for (let call = 0; call < 1000; call++) budget.recordCall('books');
  const countRetries = (share: number): number => {
    let retries = 0;
    while (budget.tryRetry('books', share)) retries += 1;
    return retries;
  };
  assert.equal(countRetries(0.2), 40);
  assert.equal(countRetries(0.2), 0);
  assert.equal(countRetries(1), 160);
});
