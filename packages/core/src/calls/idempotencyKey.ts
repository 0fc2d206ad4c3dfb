import { createHash } from 'node:crypto';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { parse, v7, validate, version } from 'uuid';
import type { Clock } from '../runtime/clock.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import type { RandomSource } from '../runtime/random.js';
import { ResultCode } from '../runtime/resultCode.js';

const KEY_BYTES = 16;
const TIME_BYTES = 6;
const KEY_VERSION = 7;

function randomBytes(random: RandomSource): Uint8Array {
  return Uint8Array.from({ length: KEY_BYTES }, () => Math.floor(random.next() * 256));
}

/** Generates a key: a UUIDv7 with the current wall-clock time. */
export function mintKey(clock: Clock, random: RandomSource): string {
  return v7({ msecs: clock.date().getTime(), random: randomBytes(random) });
}

/** Returns the key in lower case; fails with `badKeyMalformed` when `text` is not a UUIDv7. */
export function parseKey(text: string): Result<string, Failure> {
  if (validate(text) && version(text) === KEY_VERSION) return Ok(text.toLowerCase());
  const message = 'the idempotency key is not a version 7 UUID; generate one and send it again';
  return Err(createFailure(ResultCode.badKeyMalformed, message));
}

/** Returns the Unix time at which a valid key was generated, in milliseconds. */
export function timeOfKey(key: string): number {
  return Buffer.from(parse(key)).readUIntBE(0, TIME_BYTES);
}

/**
 * Derives the key of a child call. It has the time of the parent's key; its other bits are a hash
 * of the parent's key, the name of the call, and a label (or an ordinal) that distinguishes several
 * child calls with that name.
 */
export function deriveKey(parent: string, call: string, label: string): string {
  const text = JSON.stringify([parent.toLowerCase(), call, label]);
  const random = createHash('sha256').update(text).digest().subarray(0, KEY_BYTES);
  return v7({ msecs: timeOfKey(parent), random });
}

/** Returns the shard of a key, from 0 to `shards` - 1. */
export function shardOf(key: string, shards: number): number {
  return createHash('sha256').update(key.toLowerCase()).digest().readUInt32BE(0) % shards;
}
