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

test('an at-most-once call is retried only if it was not run, or with its key at the same home', () => {
  Object.values(ResultCode).forEach((code) => {
    const atOtherHome = isRetryable({ code, execution: 'atMostOnce', isSameHome: false });
    if (atOtherHome) assert.ok(isNotRun(code));
    const atHome = isRetryable({ code, execution: 'atMostOnce', isSameHome: true });
    const repeatable = isRetryable({ code, execution: 'repeatable', isSameHome: false });
    // Only keyed calls have a home, and only a home can move.
    assert.equal(atHome, repeatable || code === ResultCode.notHome);
  });
});

test('a bad request, a success and an expired deadline are never retried', () => {
  const codes = [ResultCode.ok, ResultCode.badHeader, ResultCode.notRunDeadline];
  codes.forEach((code) => {
    assert.equal(isRetryable({ code, execution: 'repeatable', isSameHome: true }), false);
  });
});

test('a call whose key may have run is not retried, even at the same home', () => {
  const code = ResultCode.unknownKeyMayHaveRun;
  assert.equal(isRetryable({ code, execution: 'atMostOnce', isSameHome: true }), false);
});

test('the retry budget limits retries to a share of recent calls, for each service', () => {
  const budget = new RetryBudget(new ManualClock(), 0.1, 3);
  for (let call = 0; call < 100; call++) budget.recordCall('catalogue');
  let retries = 0;
  while (budget.tryRetry('catalogue')) retries += 1;
  assert.equal(retries, 13);
  assert.equal(budget.tryRetry('payments'), true);
});

test('calls older than the decay time add nothing to the retry budget', async () => {
  const clock = new ManualClock();
  const budget = new RetryBudget(clock, 0.1, 1);
  for (let call = 0; call < 1000; call++) budget.recordCall('catalogue');
  await clock.advance(120_000);
  assert.equal(budget.tryRetry('catalogue'), true);
  assert.equal(budget.tryRetry('catalogue'), false);
});

test('backoff lies between 0 and a ceiling that doubles, and ends before the deadline', () => {
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

test('the deadline of a child call is never after that of its parent, over any chain of hops', () => {
  const property = fc.property(
    fc.array(fc.tuple(fc.integer({ min: 0, max: 3000 }), fc.integer({ min: 0, max: 50 }))),
    (hops) => {
      let now = 0;
      let until = Infinity;
      hops.forEach(([timeoutMs, spentMs]) => {
        const child = deadlineAt(now, timeoutMs, until);
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

test('a deadline header is parsed, and an invalid one fails with badHeader', () => {
  assert.equal(parseDeadlineMs(undefined).unwrap(), undefined);
  assert.equal(parseDeadlineMs('250').unwrap(), 250);
  ['-1', '2.5', '9999999', 'soon', ''].forEach((header) => {
    assert.equal(parseDeadlineMs(header).unwrapErr().code, ResultCode.badHeader, header);
  });
});
