import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { ResultCode } from '../runtime/resultCode.js';

/** Longest time that a call may take, in milliseconds. */
export const MAX_DEADLINE_MS = 3_600_000;

/** Time kept back at each hop for the way of the answer, in milliseconds. */
export const HOP_COST_MS = 1;

/** Reads a header with the remaining time in milliseconds. Fails with `badHeader`. */
export function parseDeadlineMs(header: string | undefined): Result<number | undefined, Failure> {
  if (header === undefined) return Ok(undefined);
  const remainingMs = /^\d{1,7}$/.test(header) ? Number(header) : Infinity;
  if (remainingMs <= MAX_DEADLINE_MS) return Ok(remainingMs);
  const message = `send the remaining time in whole milliseconds, up to ${MAX_DEADLINE_MS}`;
  return Err(createFailure(ResultCode.badHeader, message));
}

/** When a call ends, on the clock of `now`: its own patience, and never later than its parent. */
export function deadlineAt(now: number, patienceMs: number, parentDeadlineAt = Infinity): number {
  return Math.min(now + patienceMs, parentDeadlineAt);
}

/** Remaining time to send with the next hop, in whole milliseconds; 0 when it is not worth sending. */
export function remainingForHopMs(until: number, now: number): number {
  return Math.max(0, Math.floor(until - now - HOP_COST_MS));
}
