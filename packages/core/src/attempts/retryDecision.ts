import type { Execution } from '../configuration/configuration.js';
import { ResultCode, isNotRun, isOutcomeUnknown } from '../runtime/resultCode.js';
import type { ResultNumber } from '../runtime/resultCode.js';

/** A failed attempt, to decide whether it may be retried. */
export interface RetryCandidate {
  code: ResultNumber;
  execution: Execution;
  /** True when a retry carries the same key to the same home, which detects the duplicate. */
  isSameHome: boolean;
}

// A further attempt would end in the same way.
const nonRetryableCodes = new Set<ResultNumber>([
  ResultCode.notRunDeadline,
  ResultCode.notRunCancelled,
  ResultCode.notRunNoAttemptLeft,
  ResultCode.unknownCancelled,
  ResultCode.unknownAnswerTooLarge,
  ResultCode.unknownKeyMayHaveRun,
  ResultCode.badKeyExpired,
]);

/**
 * True when a further attempt is safe and may succeed: the call was not run, is repeatable, or its
 * home prevents a second run. Attempt tokens and the retry budget are checked separately.
 */
export function isRetryable({ code, execution, isSameHome }: RetryCandidate): boolean {
  if (nonRetryableCodes.has(code)) return false;
  // Another daemon has become home; the next attempt goes there.
  if (code === ResultCode.notHome) return isSameHome;
  if (isOutcomeUnknown(code)) return execution === 'repeatable' || isSameHome;
  return isNotRun(code) && code < ResultCode.badRequest;
}
