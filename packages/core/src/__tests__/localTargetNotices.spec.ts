import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LocalTarget } from '../directory/localTarget.js';
import { LocalTargetNotices } from '../forwarding/localTargetNotices.js';
import type { TargetNotice } from '../forwarding/forwardedRequest.js';
import { silentLogger } from '../observability/logger.js';
import { ManualClock } from '../runtime/manualClock.js';

const run = { targetId: 'i-1', startedAt: 5 };

function createNotices() {
  const clock = new ManualClock();
  const target = new LocalTarget(clock, silentLogger);
  const notices = new LocalTargetNotices({ clock, logger: silentLogger, target });
  let sequence = 0;
  const beat = (startedAt: number): void => {
    sequence += 1;
    target.receive({
      ...run,
      startedAt,
      service: 'books',
      dataCentre: 'hobart',
      slots: 10,
      state: 'ready',
      coldRemainingMs: 0,
      sequence,
    });
  };
  beat(run.startedAt);
  const respond = (rateLimit: TargetNotice['rateLimit'], sentAt = clock.now(), of = run): void => {
    notices.receive({
      notice: { rateLimit, isLeaving: false },
      run: of,
      requestId: 'a',
      sentAt,
    });
  };
  const limit = (): number | undefined => notices.rateLimit()?.requestsPerSecond;
  return { clock, target, notices, beat, respond, limit };
}

test('a rate limit applies until a response without one', async () => {
  const { clock, respond, limit } = createNotices();
  respond(33.8);
  assert.equal(limit(), 33.8);
  await clock.advance(10);
  respond('none');
  assert.equal(limit(), undefined);
});

test('a response that the target wrote before it named the limit does not lift it', async () => {
  const { clock, respond, limit } = createNotices();
  await clock.advance(100);
  respond(10, 20);
  respond('none', 10);
  assert.equal(limit(), 10);
  respond('none', 99);
  assert.equal(limit(), 10);
  await clock.advance(100);
  respond('none', 101);
  assert.equal(limit(), undefined);
});

test('a limit that changes with every response is followed up and down', async () => {
  const { clock, respond, limit } = createNotices();
  for (const named of [10, 12.5, 11, 30, 29.5]) {
    await clock.advance(10);
    respond(named);
    assert.equal(limit(), named);
  }
  respond(50, 1);
  assert.equal(limit(), 29.5);
});

test('a limit that cannot be read changes nothing', () => {
  const { respond, limit } = createNotices();
  respond(10);
  respond('unreadable');
  assert.equal(limit(), 10);
});

test('a limit is not that of another run of the target', () => {
  const { beat, notices, respond, limit } = createNotices();
  respond(10);
  beat(6);
  assert.equal(limit(), undefined);
  respond(10);
  assert.equal(limit(), undefined);
  notices.adopt({ ...run, requestsPerSecond: 10 });
  assert.equal(limit(), undefined);
});

test('a restarted daemon takes over the reported limit until its target responds', async () => {
  const { clock, notices, respond, limit } = createNotices();
  notices.adopt({ ...run, requestsPerSecond: 10 });
  assert.equal(limit(), 10);
  await clock.advance(10);
  respond('none');
  notices.adopt({ ...run, requestsPerSecond: 10 });
  assert.equal(limit(), undefined);
});

test('a target that is leaving by its response drains, whatever its later heartbeats say', () => {
  const { target, notices, beat } = createNotices();
  const notice = { rateLimit: 'none', isLeaving: true } as const;
  notices.receive({ notice, run: { ...run, startedAt: 4 }, requestId: 'a', sentAt: 0 });
  assert.equal(target.isReady(), true);
  notices.receive({ notice, run, requestId: 'b', sentAt: 0 });
  assert.equal(target.current()?.state, 'draining');
  beat(run.startedAt);
  assert.equal(target.isReady(), false);
  beat(run.startedAt + 1);
  assert.equal(target.isReady(), true);
});
