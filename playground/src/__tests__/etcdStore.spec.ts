import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import {
  EtcdStore,
  ResultCode,
  closeHttp,
  createSeededRandom,
  listenHttp,
  systemClock,
} from '@shallotcroft/core';
import type { StoreEntry } from '@shallotcroft/core';
import { startStoreStandIn } from '../storeStandIn.js';
import type { StoreStandIn } from '../storeStandIn.js';

const POLL_MS = 5;
const MAX_POLLS = 2000;
const IDLE_TIMEOUT_MS = 60;
const TIMEOUT_MS = 300;
const DEAD_ENDPOINT = 'http://127.0.0.1:1';

async function start(context: TestContext, dead: string[] = []) {
  const standIn = await startStoreStandIn({ clock: systemClock });
  const store = new EtcdStore({
    endpoints: [...dead, `http://127.0.0.1:${standIn.port}`],
    clock: systemClock,
    random: createSeededRandom(1),
    timeoutMs: TIMEOUT_MS,
    idleTimeoutMs: IDLE_TIMEOUT_MS,
  });
  context.after(async () => {
    await store.close();
    await standIn.close();
  });
  return { standIn, store };
}

async function waitUntil(condition: () => boolean) {
  for (let poll = 0; poll < MAX_POLLS; poll++) {
    if (condition()) return;
    await systemClock.sleep(POLL_MS);
  }
  assert.fail(`condition not met after ${MAX_POLLS} polls of ${POLL_MS} ms`);
}

function startWatch(store: EtcdStore) {
  const reported = new Map<string, string>();
  const watch = store.watch('a/', (entry: StoreEntry) => reported.set(entry.key, entry.value));
  return { reported, watch };
}

function write(standIn: StoreStandIn, key: string, value: string) {
  const expected = standIn.database.get(key)?.modRevision ?? 0;
  assert.ok(standIn.database.swap(key, expected, value).swapped);
}

test('entries, comparisons and leases are encoded and decoded without loss', async (context) => {
  const { store } = await start(context);
  const lease = (await store.grantLease(60)).unwrap();
  const first = (await store.swap('a/é', 0, 'größe', lease)).unwrap();
  assert.deepEqual(first.current, { key: 'a/é', value: 'größe', modRevision: 1 });
  assert.deepEqual((await store.get('a/é')).unwrap(), first.current);
  const rejected = (await store.swap('a/é', 0, 'x')).unwrap();
  assert.deepEqual(rejected, { swapped: false, current: first.current });
  assert.equal((await store.renewLease(lease)).unwrap(), 60);
  assert.equal((await store.renewLease('99')).unwrap(), 0);
  const unbound = await store.swap('b', 0, 'x', '99');
  assert.equal(unbound.unwrapErr().code, ResultCode.storeUnavailable);
  assert.deepEqual((await store.list('a/')).unwrap(), [first.current]);
  assert.equal((await store.remove('a/é', 1)).unwrap().swapped, true);
  assert.equal((await store.get('a/é')).unwrap(), undefined);
});

test('a refused connection is reported as store unavailable: nothing was written', async (context) => {
  const { standIn, store } = await start(context);
  await standIn.setFaults({ down: true });
  const written = await store.swap('a', 0, 'x');
  const read = await store.get('a');
  assert.equal(written.unwrapErr().code, ResultCode.storeUnavailable);
  assert.equal(read.unwrapErr().code, ResultCode.storeUnavailable);
  await standIn.setFaults({ down: false });
  assert.equal((await store.swap('a', 0, 'x')).unwrap().swapped, true);
});

// Guards against a lost response being taken for a failed write: the write may still be applied.
test('a write without a response has an unknown outcome', async (context) => {
  const { standIn, store } = await start(context);
  for (const effect of ['early', 'late', 'never'] as const) {
    await standIn.setFaults({ loseNextAnswer: effect });
    const written = await store.swap(effect, 0, 'x');
    assert.equal(written.unwrapErr().code, ResultCode.storeOutcomeUnknown);
  }
  await standIn.setFaults({ landLateWrites: true });
  const keys = (await store.list('')).unwrap().map((entry) => entry.key);
  assert.deepEqual(keys, ['early', 'late']);
});

// Guards against taking a timeout or an error of a proxy for a rejected write.
test('only a rejection by the gateway itself means that nothing was written', async (context) => {
  const codes = new Map<number, number>([
    [400, ResultCode.storeUnavailable],
    [408, ResultCode.storeOutcomeUnknown],
    [503, ResultCode.storeOutcomeUnknown],
  ]);
  for (const [status, code] of codes) {
    const response = { status, headers: {}, body: Buffer.from('{}') };
    const { server, port } = await listenHttp('127.0.0.1', 0, 1000, async () => response);
    const store = new EtcdStore({
      endpoints: [`http://127.0.0.1:${port}`],
      clock: systemClock,
      random: createSeededRandom(1),
    });
    context.after(() => store.close().then(() => closeHttp(server)));
    assert.equal((await store.swap('a', 0, 'x')).unwrapErr().code, code, String(status));
  }
});

test('a write skips an endpoint that refuses connections', async (context) => {
  const { store } = await start(context, [DEAD_ENDPOINT]);
  assert.equal((await store.swap('a', 0, 'x')).unwrap().swapped, true);
});

// Guards against taking unresponsive pooled connections for an unavailable store.
test('unresponsive connections are replaced while the store is available', async (context) => {
  const { standIn, store } = await start(context);
  await Promise.all([store.get('a'), store.get('b'), store.get('c')]);
  await standIn.setFaults({ silenceConnections: true });
  assert.equal((await store.get('a')).unwrap(), undefined);
  assert.equal((await store.swap('a', 0, 'x')).unwrap().swapped, true);
});

// Guards against changes missed while a watch is disconnected, also when they were compacted.
test('a watch resumes after a disconnection, also when its revision was compacted', async (context) => {
  const { standIn, store } = await start(context);
  write(standIn, 'a/1', 'x');
  const { reported, watch } = startWatch(store);
  await waitUntil(() => reported.get('a/1') === 'x');
  write(standIn, 'a/2', 'y');
  await waitUntil(() => reported.get('a/2') === 'y');
  await standIn.setFaults({ down: true });
  write(standIn, 'a/2', 'z');
  await standIn.setFaults({ down: false });
  await waitUntil(() => reported.get('a/2') === 'z');
  await standIn.setFaults({ down: true });
  standIn.database.remove('a/1', 1);
  write(standIn, 'a/3', 'w');
  await standIn.setFaults({ compact: true, down: false });
  await waitUntil(() => reported.get('a/1') === '' && reported.get('a/3') === 'w');
  watch.close();
});

// Guards against a watch that waits forever on an unresponsive connection.
test('a watch on an unresponsive connection still reports later changes', async (context) => {
  const { standIn, store } = await start(context);
  const { reported, watch } = startWatch(store);
  write(standIn, 'a/1', 'x');
  await waitUntil(() => reported.get('a/1') === 'x');
  await standIn.setFaults({ silenceConnections: true });
  write(standIn, 'a/1', 'y');
  await waitUntil(() => reported.get('a/1') === 'y');
  watch.close();
});

// Guards against losing a change because its listener threw.
test('a change whose listener throws is delivered again', async (context) => {
  const { standIn, store } = await start(context);
  const reported: string[] = [];
  const watch = store.watch('a/', ({ value }) => {
    reported.push(value);
    if (reported.length === 1 || reported.length === 3) throw new Error('the listener failed');
  });
  write(standIn, 'a/1', 'x');
  await waitUntil(() => reported.length === 2);
  write(standIn, 'a/1', 'y');
  await waitUntil(() => reported.length === 4);
  watch.close();
  assert.deepEqual(reported, ['x', 'x', 'y', 'y']);
});
