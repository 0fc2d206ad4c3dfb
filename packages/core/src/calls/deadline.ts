import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { ResultCode } from '../runtime/resultCode.js';

/** Maximum deadline of a call, in milliseconds. */
export const MAX_DEADLINE_MS = 3_600_000;

/** Time that each hop reserves for the response to travel back, in milliseconds. */
export const HOP_RESERVE_MS = 1;

/** Parses a header with the remaining time in milliseconds; fails with `badHeader`. */
export function parseDeadlineMs(header: string | undefined): Result<number | undefined, Failure> {
  if (header === undefined) return Ok(undefined);
  const remainingMs = /^\d{1,7}$/.test(header) ? Number(header) : Infinity;
  if (remainingMs <= MAX_DEADLINE_MS) return Ok(remainingMs);
  const message = `the deadline header is invalid: expected the remaining time as an integer from 0 to ${MAX_DEADLINE_MS} milliseconds`;
  return Err(createFailure(ResultCode.badHeader, message));
}

/** Returns the deadline of a call on the clock of `now`; never later than that of its parent. */
export function deadlineAt(now: number, timeoutMs: number, parentDeadlineAt = Infinity): number {
  return Math.min(now + timeoutMs, parentDeadlineAt);
}

/**
 * Returns the remaining time to send with the next hop, in whole milliseconds; 0 when too little
 * is left to send the request.
 */
export function remainingForHopMs(untilAt: number, now: number): number {
  return Math.max(0, Math.floor(untilAt - now - HOP_RESERVE_MS));
}
