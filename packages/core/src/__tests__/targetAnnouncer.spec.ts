import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TargetAnnouncer } from '../directory/targetAnnouncer.js';
import type { TargetRecord } from '../directory/targetRecord.js';
import { silentLogger } from '../observability/logger.js';
import { ManualClock } from '../runtime/manualClock.js';
import { createSeededRandom } from '../runtime/random.js';
import { MemoryStore } from '../store/memoryStore.js';
import { StorePacing } from '../store/storePacing.js';
import { targetRecord } from './support/targetRecordSample.js';

const KEY = 'targets/a';

function createAnnouncer() {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const known = { record: { ...targetRecord }, isStoreReachable: true };
  const foreign: string[] = [];
  const announcer = new TargetAnnouncer({
    key: KEY,
    store,
    clock,
    logger: silentLogger,
    pacing: new StorePacing(createSeededRandom(1)),
    isStoreReachable: () => known.isStoreReachable,
    onForeignRecord: (value) => foreign.push(value),
    record: () => known.record,
  });
  const stop = new AbortController();
  const running = announcer.run(stop.signal);
  const stopped = async (): Promise<void> => {
    stop.abort();
    await clock.advance(0);
    await running;
  };
  const published = (): TargetRecord | undefined => {
    const value = store.database.get(KEY)?.value;
    return value === undefined ? undefined : (JSON.parse(value) as TargetRecord);
  };
  return { clock, store, known, foreign, announcer, stopped, published };
}

test('a daemon that has restarted replaces the record of its former life', async () => {
  const { clock, store, foreign, published, stopped } = createAnnouncer();
  const former = JSON.stringify({ ...targetRecord, incarnation: 'former' });
  store.database.swap(KEY, 0, former);
  await clock.advance(1000);
  assert.deepEqual(foreign, [former]);
  assert.equal(published()?.incarnation, targetRecord.incarnation);
  await stopped();
});

test('a change during a store call is published right after it', async () => {
  const { clock, known, announcer, published, stopped } = createAnnouncer();
  announcer.publishSoon();
  known.record = { ...targetRecord, state: 'draining', version: 2 };
  announcer.publishSoon();
  await clock.advance(100);
  assert.equal(published()?.state, 'draining');
  await stopped();
});

test('a day of renewals costs a call every three seconds', async () => {
  const { clock, store, stopped } = createAnnouncer();
  await clock.advance(1000);
  const before = store.counts.writes;
  await clock.advance(30_000);
  assert.ok(store.counts.writes - before <= 10, `${store.counts.writes - before} calls`);
  assert.ok(store.database.get(KEY) !== undefined);
  await stopped();
});

test('while the store is unreachable the announcer waits for its return, then publishes at once', async () => {
  const { clock, store, known, announcer, published, stopped } = createAnnouncer();
  await clock.advance(1000);
  store.database.remove(KEY, store.database.get(KEY)?.modRevision ?? 0);
  known.isStoreReachable = false;
  known.record = { ...targetRecord, version: 3 };
  await clock.advance(500);
  known.isStoreReachable = true;
  announcer.republishDeleted();
  await clock.advance(100);
  assert.equal(published()?.version, 3);
  await stopped();
});
