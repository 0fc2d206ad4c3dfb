import type { RandomSource } from '../runtime/random.js';

/** Longest backoff before the first retry, in milliseconds. */
const BASE_BACKOFF_MS = 10;
/** Longest backoff before any retry, in milliseconds. */
const MAX_BACKOFF_MS = 1000;

/**
 * Exponential backoff with full jitter before retry number `retry` (from 1), in milliseconds.
 * Undefined when it would last at least as long as the remaining time.
 */
export function backoffMs(
  retry: number,
  remainingMs: number,
  random: RandomSource,
): number | undefined {
  const ceiling = Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** (retry - 1));
  const wait = random.next() * ceiling;
  return wait < remainingMs ? wait : undefined;
}
