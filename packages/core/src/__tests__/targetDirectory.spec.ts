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

function put(directory: TargetDirectory, change: Partial<TargetRecord> = {}): void {
  directory.put('targets/a', JSON.stringify({ ...record, ...change }));
}

function createDirectory() {
  const clock = new ManualClock();
  const directory = new TargetDirectory(clock, silentLogger);
  directory.setStoreReachable(true);
  return { clock, directory };
}

test('records that are not readable name no target, and what was known holds', () => {
  const { directory } = createDirectory();
  put(directory);
  directory.put('targets/a', '{"service":7}');
  directory.put('targets/b', 'not JSON');
  put(directory, { state: 'unheard-of' as 'ready' });
  assert.deepEqual(
    directory.all().map(({ record: { targetId } }) => targetId),
    ['i-1'],
  );
});

test('a late record of the same daemon run changes nothing', () => {
  const { directory } = createDirectory();
  put(directory, { version: 5, state: 'draining' });
  put(directory, { version: 4 });
  assert.equal(directory.of('books')[0]?.record.state, 'draining');
});

test('a lapsed record is used for 2.5 s more, and while the store is away', async () => {
  const { clock, directory } = createDirectory();
  put(directory);
  directory.setStoreReachable(false);
  directory.remove('targets/a');
  await clock.advance(60_000);
  assert.equal(directory.of('books').length, 1);
  directory.setStoreReachable(true);
  await clock.advance(2400);
  assert.equal(directory.of('books').length, 1);
  await clock.advance(200);
  assert.equal(directory.of('books').length, 0);
});

test('a record that is written again after it lapsed stays', async () => {
  const { clock, directory } = createDirectory();
  put(directory);
  directory.remove('targets/a');
  await clock.advance(1000);
  put(directory);
  await clock.advance(10_000);
  assert.equal(directory.of('books').length, 1);
});

test('a target that left is dropped at once', () => {
  const { directory } = createDirectory();
  put(directory, { state: 'stopping' });
  directory.remove('targets/a');
  assert.equal(directory.all().length, 0);
});

const beat: TargetHeartbeat = {
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

test('a target that said it drains is not ready again by a late heartbeat', () => {
  const target = createLocalTarget();
  target.receive({ ...beat, sequence: 4 });
  target.receive({ ...beat, state: 'draining', sequence: 6 });
  assert.equal(target.receive({ ...beat, sequence: 5 }), false);
  target.receive({ ...beat, sequence: 7 });
  assert.equal(target.current()?.state, 'draining');
  assert.equal(target.isReady(), false);
});

test('a heartbeat of a former life changes nothing; a later life under the same id counts', () => {
  const target = createLocalTarget();
  target.receive({ ...beat, targetId: 'i-2', startedAt: 200 });
  assert.equal(target.receive({ ...beat, sequence: 90 }), false);
  assert.equal(target.current()?.targetId, 'i-2');
  assert.equal(target.receive({ ...beat, targetId: 'i-2', startedAt: 300 }), true);
  assert.equal(target.current()?.startedAt, 300);
});

test('a target that has left is not brought back by its own late heartbeat', () => {
  const target = createLocalTarget();
  target.receive({ ...beat, sequence: 4 });
  target.leave('i-1');
  target.receive({ ...beat, sequence: 5 });
  assert.equal(target.isReady(), false);
  target.leave('i-unknown');
  assert.equal(target.current()?.state, 'gone');
});

test('a target that left before its daemon knew it is not taken in by a late heartbeat', async () => {
  const clock = new ManualClock();
  const target = new LocalTarget(clock, silentLogger);
  const startedAt = clock.date().getTime();
  await clock.advance(1000);
  target.leave('i-1');
  assert.equal(target.receive({ ...beat, startedAt, sequence: 5 }), false);
  assert.equal(target.isReady(), false);
  await clock.advance(1000);
  const restartedAt = clock.date().getTime();
  assert.equal(target.receive({ ...beat, startedAt: restartedAt, sequence: 1 }), true);
  assert.equal(target.isReady(), true);
});
