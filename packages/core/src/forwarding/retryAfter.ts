import type { RandomSource } from '../runtime/random.js';

/** Longest wait of a caller, as a share of the time left until its deadline. */
const MAX_WAIT_SHARE_OF_REMAINING = 1 / 3;
/** Shortest wait, as a share of the longest: 0.2 for rank 0, 0.2 more for each rank after it. */
const MIN_WAIT_SHARE = 0.2;
const MIN_WAIT_SHARE_PER_RANK = 0.2;
const HIGHEST_RANK = 3;
/** Longest wait of any caller, in milliseconds. */
const MAX_WAIT_MS = 2000;

/**
 * Time after which the caller of a rejected request should retry, in milliseconds. Retries are
 * spread at random over the time that callers accept, those of lower rank (more important) earlier,
 * so that a burst of rejections does not cause a burst of retries.
 */
export function retryAfterMs(remainingMs: number, rank: number, random: RandomSource): number {
  const maxWaitMs = Math.min(MAX_WAIT_MS, remainingMs * MAX_WAIT_SHARE_OF_REMAINING);
  const minShare = MIN_WAIT_SHARE + MIN_WAIT_SHARE_PER_RANK * Math.min(rank, HIGHEST_RANK);
  return Math.max(0, Math.round(maxWaitMs * (minShare + (1 - minShare) * random.next())));
}
