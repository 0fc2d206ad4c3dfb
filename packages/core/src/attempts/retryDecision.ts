import type { Execution } from '../configuration/configuration.js';
import { ResultCode, isNotRun, isOutcomeUnknown } from '../runtime/resultCode.js';
import type { ResultNumber } from '../runtime/resultCode.js';

/** What a retry would repeat. */
export interface RetryCandidate {
  code: ResultNumber;
  execution: Execution;
  /** True when the retry carries the same key to the same home, which recognises it. */
  sameHome: boolean;
}

// A further attempt would meet the same end.
const finalCodes = new Set<ResultNumber>([
  ResultCode.notRunDeadline,
  ResultCode.notRunCancelled,
  ResultCode.notRunNoAttemptLeft,
  ResultCode.unknownCancelled,
  ResultCode.unknownAnswerTooLarge,
  ResultCode.unknownKeyMayHaveRun,
  ResultCode.badKeyExpired,
]);

/**
 * True when a further attempt does no harm and may help: the call was not run, or may be run
 * twice, or its home keeps it from running twice. Tokens and budgets are asked separately.
 */
export function isRetryable({ code, execution, sameHome }: RetryCandidate): boolean {
  if (finalCodes.has(code)) return false;
  // Another daemon has become home; it is asked next.
  if (code === ResultCode.notHome) return sameHome;
  if (isOutcomeUnknown(code)) return execution === 'repeatable' || sameHome;
  return isNotRun(code) && code < ResultCode.badRequest;
}
