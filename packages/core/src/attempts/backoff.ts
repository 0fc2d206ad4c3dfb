import type { RandomSource } from '../runtime/random.js';

/** Longest wait before the first retry, in milliseconds. */
const BASE_MS = 10;
/** Longest wait before any retry, in milliseconds. */
const CAP_MS = 1000;

/**
 * Wait before retry number `retry` (from 1), in milliseconds, with full jitter.
 * Undefined when the time that remains would be over by then.
 */
export function backoffMs(
  retry: number,
  remainingMs: number,
  random: RandomSource,
): number | undefined {
  const ceiling = Math.min(CAP_MS, BASE_MS * 2 ** (retry - 1));
  const wait = random.next() * ceiling;
  return wait < remainingMs ? wait : undefined;
}
