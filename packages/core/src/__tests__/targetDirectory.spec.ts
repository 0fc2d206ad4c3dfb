import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LocalTarget } from '../directory/localTarget.js';
import type { TargetHeartbeat } from '../directory/localTarget.js';
import { TargetDirectory } from '../directory/targetDirectory.js';
import type { TargetRecord } from '../directory/targetRecord.js';
import { silentLogger } from '../observability/logger.js';
import { ManualClock } from '../runtime/manualClock.js';
import { targetRecord } from './support/targetRecordSample.js';

const record = targetRecord;

let lastRevision = 0;

function updateFromStore(directory: TargetDirectory, change: Partial<TargetRecord> = {}): void {
  lastRevision += 1;
  directory.updateFromStore('targets/a', JSON.stringify({ ...record, ...change }), lastRevision);
}

function createDirectory() {
  const clock = new ManualClock();
  const directory = new TargetDirectory(clock, silentLogger);
  directory.setStoreReachable(true);
  return { clock, directory };
}

test('invalid records add no target and leave the known record in place', () => {
  const { directory } = createDirectory();
  updateFromStore(directory);
  directory.updateFromStore('targets/a', '{"service":7}', 100);
  directory.updateFromStore('targets/b', 'not JSON', 101);
  updateFromStore(directory, { state: 'unsupported' as 'ready' });
  assert.deepEqual(
    directory.all().map(({ record: { targetId } }) => targetId),
    ['i-1'],
  );
});

test('an older version of a record from the same incarnation is ignored', () => {
  const { directory } = createDirectory();
  updateFromStore(directory, { version: 5, state: 'draining' });
  updateFromStore(directory, { version: 4 });
  assert.equal(directory.targetsOf('books')[0]?.record.state, 'draining');
});

test('an expired record is kept while the store is unreachable and for 2.5 s afterwards', async () => {
  const { clock, directory } = createDirectory();
  updateFromStore(directory);
  directory.setStoreReachable(false);
  directory.remove('targets/a');
  await clock.advance(60_000);
  assert.equal(directory.targetsOf('books').length, 1);
  directory.setStoreReachable(true);
  await clock.advance(2400);
  assert.equal(directory.targetsOf('books').length, 1);
  await clock.advance(200);
  assert.equal(directory.targetsOf('books').length, 0);
});

test('an expired record that is written again is kept', async () => {
  const { clock, directory } = createDirectory();
  updateFromStore(directory);
  directory.remove('targets/a');
  await clock.advance(1000);
  updateFromStore(directory);
  await clock.advance(10_000);
  assert.equal(directory.targetsOf('books').length, 1);
});

test('the record of a later start is used although its clock was set back', () => {
  const { directory } = createDirectory();
  updateFromStore(directory, { incarnation: '0190-later', state: 'stopping', version: 9 });
  updateFromStore(directory, { incarnation: '0180-earlier', state: 'ready', version: 1 });
  assert.equal(directory.targetsOf('books')[0]?.record.state, 'ready');
});

test('an event of a former incarnation that comes late from the store does not replace a newer one', () => {
  const { directory } = createDirectory();
  updateFromStore(directory, { incarnation: '0190', state: 'ready' });
  const late = JSON.stringify({ ...record, incarnation: '0180', state: 'stopping' });
  directory.updateFromStore('targets/a', late, lastRevision - 1);
  assert.equal(directory.targetsOf('books')[0]?.record.state, 'ready');
});

test('a daemon that still responds is kept after the store has dropped its record', async () => {
  const { clock, directory } = createDirectory();
  updateFromStore(directory);
  directory.remove('targets/a');
  for (let second = 0; second < 20; second++) {
    directory.recordContact('targets/a', record.incarnation);
    await clock.advance(1000);
  }
  assert.equal(directory.targetsOf('books').length, 1);
  await clock.advance(10_000);
  assert.equal(directory.targetsOf('books').length, 0);
});

test('a response of another incarnation does not keep an expired record', async () => {
  const { clock, directory } = createDirectory();
  updateFromStore(directory);
  directory.remove('targets/a');
  directory.recordContact('targets/a', 'another');
  await clock.advance(3000);
  assert.equal(directory.targetsOf('books').length, 0);
});

test('a target that changes its service is found under the new one only', () => {
  const { directory } = createDirectory();
  updateFromStore(directory);
  updateFromStore(directory, { service: 'loans', version: 4 });
  assert.equal(directory.targetsOf('books').length, 0);
  assert.equal(directory.targetsOf('loans').length, 1);
});

test('the record of a stopping target is removed as soon as the store drops it', () => {
  const { directory } = createDirectory();
  updateFromStore(directory, { state: 'stopping' });
  directory.remove('targets/a');
  assert.equal(directory.all().length, 0);
});

const heartbeat: TargetHeartbeat = {
  targetId: 'i-1',
  startedAt: 100,
  service: 'books',
  dataCentre: 'hobart',
  slots: 10,
  state: 'ready',
  coldRemainingMs: 0,
  sequence: 1,
};

function createLocalTarget(): LocalTarget {
  return new LocalTarget(new ManualClock(), silentLogger);
}

test('a draining target does not become ready again by a stale or a later heartbeat', () => {
  const target = createLocalTarget();
  target.receive({ ...heartbeat, sequence: 4 });
  target.receive({ ...heartbeat, state: 'draining', sequence: 6 });
  assert.equal(target.receive({ ...heartbeat, sequence: 5 }), false);
  target.receive({ ...heartbeat, sequence: 7 });
  assert.equal(target.current()?.state, 'draining');
  assert.equal(target.isReady(), false);
});

test('a heartbeat from before a restart is ignored; a restart under the same id is recognised', () => {
  const target = createLocalTarget();
  target.receive({ ...heartbeat, targetId: 'i-2', startedAt: 200 });
  assert.equal(target.receive({ ...heartbeat, sequence: 90 }), false);
  assert.equal(target.current()?.targetId, 'i-2');
  assert.equal(target.receive({ ...heartbeat, targetId: 'i-2', startedAt: 300 }), true);
  assert.equal(target.current()?.startedAt, 300);
});

test('a deregistered target does not become ready again by its own delayed heartbeat', () => {
  const target = createLocalTarget();
  target.receive({ ...heartbeat, sequence: 4 });
  target.leave('i-1');
  target.receive({ ...heartbeat, sequence: 5 });
  assert.equal(target.isReady(), false);
  target.leave('i-unknown');
  assert.equal(target.current()?.state, 'gone');
});

test('a target that deregistered while unknown is not added by a delayed heartbeat', async () => {
  const clock = new ManualClock();
  const target = new LocalTarget(clock, silentLogger);
  const startedAt = clock.date().getTime();
  await clock.advance(1000);
  target.leave('i-1');
  assert.equal(target.receive({ ...heartbeat, startedAt, sequence: 5 }), false);
  assert.equal(target.isReady(), false);
  await clock.advance(1000);
  const restartedAt = clock.date().getTime();
  assert.equal(target.receive({ ...heartbeat, startedAt: restartedAt, sequence: 1 }), true);
  assert.equal(target.isReady(), true);
});

test('after a restart of its daemon a target that had left is not ready by a delayed heartbeat', () => {
  const target = createLocalTarget();
  target.receive({ ...heartbeat, sequence: 4 });
  target.restore({ targetId: 'i-1', startedAt: 100, state: 'gone' });
  assert.equal(target.isReady(), false);
  assert.equal(target.receive({ ...heartbeat, sequence: 5 }), false);
  assert.equal(target.isReady(), false);
  assert.equal(target.receive({ ...heartbeat, startedAt: 300, sequence: 1 }), true);
  assert.equal(target.isReady(), true);
});

test('after a restart of its daemon a draining target stays draining', () => {
  const target = createLocalTarget();
  target.restore({ targetId: 'i-1', startedAt: 100, state: 'draining' });
  target.receive({ ...heartbeat, sequence: 3 });
  assert.equal(target.current()?.state, 'draining');
  assert.equal(target.isReady(), false);
});

test('a run that is known to be leaving stays so, whatever a restarted daemon publishes', () => {
  const { directory } = createDirectory();
  updateFromStore(directory);
  directory.recordLeaving('targets/a', record);
  const stateOf = (): string | undefined => directory.targetsOf('books')[0]?.record.state;
  assert.equal(stateOf(), 'draining');
  updateFromStore(directory, { incarnation: 'run-2', version: 1 });
  assert.equal(stateOf(), 'draining');
  directory.updateFromPeer('targets/a', { ...record, incarnation: 'run-3', version: 1 });
  assert.equal(stateOf(), 'draining');
});

test('an older record that reports a run as draining makes it known as leaving', () => {
  const { directory } = createDirectory();
  updateFromStore(directory, { incarnation: 'run-2', version: 1 });
  const reported: [string, string][] = [];
  directory.onLeaving((key, { targetId }) => reported.push([key, targetId]));
  directory.updateFromPeer('targets/a', { ...record, state: 'draining' });
  assert.equal(directory.targetsOf('books')[0]?.record.state, 'draining');
  assert.equal(directory.targetsOf('books')[0]?.record.incarnation, 'run-2');
  assert.deepEqual(reported, [['targets/a', 'i-1']]);
});

test('a target that starts again after it has left is ready', () => {
  const { directory } = createDirectory();
  updateFromStore(directory);
  directory.recordLeaving('targets/a', record);
  updateFromStore(directory, { startedAt: record.startedAt + 1, version: 9 });
  assert.equal(directory.targetsOf('books')[0]?.record.state, 'ready');
});
