import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Ok } from 'ts-results-es';
import { OutcomeTable } from '../atMostOnce/outcomeTable.js';
import type { CallOutcome } from '../atMostOnce/outcomeTable.js';
import { mintKey } from '../calls/idempotencyKey.js';
import { ManualClock } from '../runtime/manualClock.js';
import { createSeededRandom } from '../runtime/random.js';
import { ResultCode } from '../runtime/resultCode.js';

const clock = new ManualClock();
const random = createSeededRandom(3);

function outcomeWith(text: string): CallOutcome {
  return Ok({ status: 200, headers: {}, body: Buffer.from(text) });
}

function addFinished(table: OutcomeTable, text: string): string {
  const key = mintKey(clock, random);
  table.begin(key, Promise.resolve(outcomeWith(text)));
  table.finish(key, outcomeWith(text));
  return key;
}

test('a table over its byte limit drops the oldest response but never its key', async () => {
  const table = new OutcomeTable({ maxKeys: 3, maxBytes: 10 });
  const keys = [
    addFinished(table, '123456'),
    addFinished(table, '123456'),
    addFinished(table, '1'),
  ];
  assert.ok(table.isFull());
  const outcomes = await Promise.all(keys.map((key) => table.find(key) as CallOutcome));
  assert.equal(outcomes[0]?.isErr() && outcomes[0].error.code, ResultCode.unknownKeyMayHaveRun);
  assert.ok(outcomes[1]?.isOk());
  assert.ok(outcomes[2]?.isOk());
});

test('forgetBefore removes finished keys, keeps running ones, never lowers its limit', async () => {
  const table = new OutcomeTable();
  const old = addFinished(table, 'old');
  await clock.advance(1000);
  const running = mintKey(clock, random);
  table.begin(running, new Promise(() => {}));
  const minMintedAt = clock.date().getTime();
  table.forgetBefore(minMintedAt);
  table.forgetBefore(minMintedAt - 5000);
  assert.equal(table.minMintedAt, minMintedAt);
  assert.equal(table.find(old), undefined);
  table.forgetBefore(minMintedAt + 5000);
  assert.ok(table.find(running));
});

test('a handed over table gives the same outcomes; running keys become unknown', async () => {
  const table = new OutcomeTable();
  const key = addFinished(table, 'paid');
  const running = mintKey(clock, random);
  table.begin(running, new Promise(() => {}));
  const next = new OutcomeTable();
  next.load(JSON.parse(JSON.stringify(table.rows())));
  assert.deepEqual(next.find(key), outcomeWith('paid'));
  const unknown = next.find(running) as CallOutcome;
  assert.equal(unknown.isErr() && unknown.error.code, ResultCode.unknownKeyMayHaveRun);
});
