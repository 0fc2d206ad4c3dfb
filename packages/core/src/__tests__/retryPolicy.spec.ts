import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { backoffMs } from '../attempts/backoff.js';
import { deadlineAt, parseDeadlineMs, remainingForHopMs } from '../calls/deadline.js';
import { ManualClock } from '../runtime/manualClock.js';
import { createSeededRandom } from '../runtime/random.js';
import { ResultCode, isNotRun } from '../runtime/resultCode.js';
import { RetryBudget } from '../attempts/retryBudget.js';
import { isRetryable } from '../attempts/retryDecision.js';

const SEED = 5;

test('a call that may run once is repeated only when not run, or by its key at the same home', () => {
  Object.values(ResultCode).forEach((code) => {
    const alone = isRetryable({ code, execution: 'atMostOnce', sameHome: false });
    if (alone) assert.ok(isNotRun(code));
    const atHome = isRetryable({ code, execution: 'atMostOnce', sameHome: true });
    const repeatable = isRetryable({ code, execution: 'repeatable', sameHome: false });
    // Only keyed calls have a home that can have moved.
    assert.equal(atHome, repeatable || code === ResultCode.notHome);
  });
});

test('a request at fault, a success and a spent deadline are never repeated', () => {
  const codes = [ResultCode.ok, ResultCode.badHeader, ResultCode.notRunDeadline];
  codes.forEach((code) => {
    assert.equal(isRetryable({ code, execution: 'repeatable', sameHome: true }), false);
  });
});

test('an unknown outcome of a key that may have run stays unknown', () => {
  const code = ResultCode.unknownKeyMayHaveRun;
  assert.equal(isRetryable({ code, execution: 'atMostOnce', sameHome: true }), false);
});

test('retries stay within their share of recent calls, for each service', () => {
  const budget = new RetryBudget(new ManualClock(), 0.1, 3);
  for (let call = 0; call < 100; call++) budget.recordCall('catalogue');
  let retries = 0;
  while (budget.tryRetry('catalogue')) retries += 1;
  assert.equal(retries, 13);
  assert.equal(budget.tryRetry('payments'), true);
});

test('the share is of recent calls: old ones pay for nothing', async () => {
  const clock = new ManualClock();
  const budget = new RetryBudget(clock, 0.1, 1);
  for (let call = 0; call < 1000; call++) budget.recordCall('catalogue');
  await clock.advance(120_000);
  assert.equal(budget.tryRetry('catalogue'), true);
  assert.equal(budget.tryRetry('catalogue'), false);
});

test('backoff lies between nothing and a ceiling that doubles, and never passes the deadline', () => {
  const property = fc.property(
    fc.integer({ min: 1, max: 40 }),
    fc.integer({ min: 0, max: 5000 }),
    fc.integer(),
    (retry, remainingMs, seed) => {
      const wait = backoffMs(retry, remainingMs, createSeededRandom(seed));
      if (wait === undefined) return;
      assert.ok(wait >= 0 && wait < remainingMs);
      assert.ok(wait < Math.min(1000, 10 * 2 ** (retry - 1)));
    },
  );
  fc.assert(property, { seed: SEED });
});

test('a child never outlives its parent, over any chain', () => {
  const property = fc.property(
    fc.array(fc.tuple(fc.integer({ min: 0, max: 3000 }), fc.integer({ min: 0, max: 50 }))),
    (hops) => {
      let now = 0;
      let until = Infinity;
      hops.forEach(([patienceMs, spentMs]) => {
        const child = deadlineAt(now, patienceMs, until);
        assert.ok(child <= until);
        now += spentMs;
        const remainingMs = remainingForHopMs(child, now);
        assert.ok(Number.isInteger(remainingMs) && remainingMs >= 0);
        assert.ok(remainingMs === 0 || now + remainingMs < child);
        until = now + remainingMs;
      });
    },
  );
  fc.assert(property, { seed: SEED });
});

test('a header of remaining time is read or refused by number', () => {
  assert.equal(parseDeadlineMs(undefined).unwrap(), undefined);
  assert.equal(parseDeadlineMs('250').unwrap(), 250);
  ['-1', '2.5', '9999999', 'soon', ''].forEach((header) => {
    assert.equal(parseDeadlineMs(header).unwrapErr().code, ResultCode.badHeader, header);
  });
});
