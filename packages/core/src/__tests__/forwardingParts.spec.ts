import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Ok } from 'ts-results-es';
import { TargetDirectory } from '../directory/targetDirectory.js';
import type { KnownTarget } from '../directory/targetDirectory.js';
import { AttemptRegistry } from '../forwarding/attemptRegistry.js';
import { HopClient } from '../forwarding/hopClient.js';
import { createHopSender } from '../forwarding/hopSender.js';
import { retryAfterMs } from '../forwarding/retryAfter.js';
import { silentLogger } from '../observability/logger.js';
import { ManualClock } from '../runtime/manualClock.js';
import { createSeededRandom } from '../runtime/random.js';
import { RetryBudget } from '../attempts/retryBudget.js';
import { hopRequest, originPeer } from './support/hopSamples.js';
import { targetRecord } from './support/targetRecordSample.js';

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

test('an attempt that has begun is remembered for senders that were suspended after its deadline', async () => {
  const clock = new ManualClock();
  const attempts = new AttemptRegistry(clock);
  attempts.register('a', 1000);
  attempts.begin('a');
  await clock.advance(30_000);
  attempts.register('b', clock.now() + 1000);
  assert.equal(attempts.void('a'), 'begun');
});

test('a sender that was suspended for long does not void its attempt', async () => {
  const clock = new ManualClock();
  let suspendedMs = 0;
  const calls: string[] = [];
  const sender = createHopSender({
    clock: {
      now: () => clock.now(),
      date: () => new Date(clock.date().getTime() + suspendedMs),
      sleep: (ms, signal) => clock.sleep(ms, signal),
      startTimer: (ms, action) => clock.startTimer(ms, action),
    },
    client: new HopClient(originPeer, clock),
    peers: {
      call: async <T>(_to: unknown, method: string) => {
        calls.push(method);
        return Ok('voided' as T);
      },
      close: async () => undefined,
    },
    guard: undefined as never,
    ownKey: 'own',
  });
  const target = new TargetDirectory(clock, silentLogger);
  target.update('a', targetRecord);
  const [known] = target.all();
  const sentAt = { monotonic: clock.now(), calendar: clock.date().getTime() };
  assert.equal(await sender.void(known as KnownTarget, hopRequest, sentAt), 'voided');
  // The monotonic clock stands still while the host is suspended.
  suspendedMs = 31_000;
  assert.equal(await sender.void(known as KnownTarget, hopRequest, sentAt), 'unknown');
  assert.deepEqual(calls, ['attempt.void']);
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
