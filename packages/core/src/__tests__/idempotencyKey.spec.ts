import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { deriveKey, mintKey, parseKey, shardOf, timeOfKey } from '../calls/idempotencyKey.js';
import { ManualClock } from '../runtime/manualClock.js';
import { createSeededRandom } from '../runtime/random.js';
import { ResultCode } from '../runtime/resultCode.js';

const epoch = new Date('2026-12-04T00:00:00Z');

function mintFrom(seed: number): string {
  return mintKey(new ManualClock(epoch), createSeededRandom(seed));
}

test('a generated key is a UUIDv7 that contains its time', () => {
  const key = mintFrom(1);
  assert.equal(parseKey(key).unwrapOr(''), key);
  assert.equal(timeOfKey(key), epoch.getTime());
});

test('a key in upper case equals that in lower case; other text is malformed', () => {
  const key = mintFrom(2);
  assert.equal(parseKey(key.toUpperCase()).unwrapOr(''), key);
  ['', 'x', '8d3c1c6e-6c0e-4f0a-9d3e-0d8f6d1f7c11', `${key}0`].forEach((text) => {
    const read = parseKey(text);
    assert.equal(read.isErr() && read.error.code, ResultCode.badKeyMalformed);
  });
});

test('a derived key is valid, deterministic, has the time of its parent, and differs by call and label', () => {
  fc.assert(
    fc.property(fc.integer(), fc.string(), fc.string(), (seed, call, label) => {
      const parent = mintFrom(seed);
      const child = deriveKey(parent, call, label);
      assert.equal(parseKey(child).unwrapOr(''), child);
      assert.equal(timeOfKey(child), timeOfKey(parent));
      assert.equal(deriveKey(parent.toUpperCase(), call, label), child);
      assert.notEqual(deriveKey(parent, call, `${label}.`), child);
      assert.notEqual(deriveKey(parent, `${call}.`, label), child);
      assert.notEqual(deriveKey(child, call, label), child);
    }),
  );
});

test('keys are distributed over all shards, independent of their case', () => {
  const keys = Array.from({ length: 400 }, (_, seed) => mintFrom(seed));
  assert.equal(new Set(keys.map((key) => shardOf(key, 16))).size, 16);
  keys.forEach((key) => assert.equal(shardOf(key, 16), shardOf(key.toUpperCase(), 16)));
});
