import type { RandomSource } from '../runtime/random.js';

/** Share of the remaining time that callers wait at most before they come back. */
const MAX_SHARE_OF_REMAINING = 1 / 3;
/** Least wait, as a share of the longest one, by urgency: the urgent come back first. */
const MIN_SHARE = 0.2;
const MIN_SHARE_PER_RANK = 0.2;
const HIGHEST_RANK = 3;
/** No caller is sent away for longer, in milliseconds. */
const LONGEST_WAIT_MS = 2000;

/**
 * When a refused caller should come back, in milliseconds. Answers a surge of short refusals:
 * returns are spread over the time that callers accept, the more urgent ones earlier.
 */
export function retryAfterMs(remainingMs: number, rank: number, random: RandomSource): number {
  const longest = Math.min(LONGEST_WAIT_MS, remainingMs * MAX_SHARE_OF_REMAINING);
  const least = MIN_SHARE + MIN_SHARE_PER_RANK * Math.min(rank, HIGHEST_RANK);
  return Math.max(0, Math.round(longest * (least + (1 - least) * random.next())));
}
