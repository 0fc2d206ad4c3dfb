import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '../runtime/manualClock.js';
import { MemoryStore } from '../store/memoryStore.js';
import { ResultCode } from '../runtime/resultCode.js';

test('a swap takes effect only at the expected revision', async () => {
  const store = new MemoryStore(new ManualClock());
  const first = (await store.swap('a', 0, '1')).unwrap();
  assert.equal(first.swapped, true);
  const second = (await store.swap('a', 0, '2')).unwrap();
  assert.deepEqual(second, { swapped: false, current: first.current });
});

test('a write with a lost response fails as unknown and takes effect at once, later or never', async () => {
  const store = new MemoryStore(new ManualClock());
  for (const effect of ['early', 'late', 'never'] as const) {
    store.loseNextResponse(effect);
    const lost = await store.swap(effect, 0, 'x');
    assert.equal(lost.unwrapErr().code, ResultCode.storeOutcomeUnknown);
  }
  const keys = async () => (await store.list('')).unwrap().map((entry) => entry.key);
  assert.deepEqual(await keys(), ['early']);
  store.applyDelayedWrites();
  assert.deepEqual(await keys(), ['early', 'late']);
});

test('a write that is slower than the timeout fails as unknown and takes effect later', async () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  store.setSlow(5000);
  const swap = store.swap('a', 0, '1');
  await clock.advance(2000);
  assert.equal((await swap).unwrapErr().code, ResultCode.storeOutcomeUnknown);
  assert.equal(store.database.get('a'), undefined);
  await clock.advance(3000);
  assert.equal(store.database.get('a')?.value, '1');
});

test('keys are deleted when their lease expires, and an expired lease is rejected', async () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const lease = (await store.grantLease(5)).unwrap();
  await store.swap('a', 0, '1', lease);
  await clock.advance(4000);
  assert.equal((await store.renewLease(lease)).unwrap(), 5);
  await clock.advance(4000);
  assert.equal((await store.get('a')).unwrap()?.value, '1');
  await clock.advance(1000);
  assert.equal((await store.get('a')).unwrap(), undefined);
  assert.equal((await store.renewLease(lease)).unwrap(), 0);
  const late = await store.swap('b', 0, '1', lease);
  assert.equal(late.unwrapErr().code, ResultCode.storeUnavailable);
});

test('a watch delivers present entries, changes, and deletions made while it was disconnected', async () => {
  const store = new MemoryStore(new ManualClock());
  const other = store.session();
  await other.swap('a/1', 0, 'x');
  const delivered: string[] = [];
  const watch = store.watch('a/', (entry) => delivered.push(`${entry.key}=${entry.value}`));
  await ManualClock.settle();
  store.setDown(true);
  const second = (await other.swap('a/2', 0, 'y')).unwrap();
  await other.remove('a/1', 1);
  store.database.compact();
  await ManualClock.settle();
  assert.deepEqual(delivered, ['a/1=x']);
  store.setDown(false);
  assert.deepEqual(delivered, ['a/1=x', 'a/1=', 'a/2=y']);
  watch.close();
  await other.remove('a/2', second.current?.modRevision ?? 0);
  await ManualClock.settle();
  assert.equal(delivered.length, 3);
});
