/** Result codes. The first digit is the category; docs/reference/result-codes.md has the table. */
export const ResultCode = {
  ok: 0,

  // 1xxx: the call was certainly not run.
  notRunShed: 1001,
  notRunQueueTimeout: 1002,
  notRunDeadline: 1003,
  notRunNoTarget: 1004,
  notRunConnect: 1005,
  notRunDraining: 1006,
  notRunHomeUnavailable: 1007,
  notRunTargetRefused: 1008,
  notRunCancelled: 1009,
  notRunNoAttemptLeft: 1010,
  notRunBarred: 1011,

  // 2xxx: the outcome is unknown; the call may have run, wholly or in part.
  unknownTimeout: 2001,
  unknownConnectionLost: 2002,
  unknownAnswerTruncated: 2003,
  unknownAnswerTooLarge: 2004,
  unknownKeyMayHaveRun: 2005,
  unknownCancelled: 2006,
  unknownTargetOverloaded: 2007,

  // 3xxx: the request is invalid; it was not run.
  badRequest: 3001,
  badUnknownCall: 3002,
  badKeyMissing: 3003,
  badKeyMalformed: 3004,
  badKeyFromFuture: 3005,
  badKeyExpired: 3006,
  badBodyTooLarge: 3007,
  badHeader: 3008,
  badChildLabelMissing: 3009,
  badParentCall: 3010,

  // 4xxx: errors of answers, configuration and settings.
  answersInvalid: 4001,
  settingsInvalid: 4002,
  configurationMissing: 4003,
  applyConflict: 4004,
  applyUnchanged: 4005,

  // 5xxx: errors of the platform's store and of daemons.
  storeUnavailable: 5001,
  storeOutcomeUnknown: 5002,
  daemonUnreachable: 5003,
  /** This daemon did not run the call, but other attempts with the same key may have. */
  notHome: 5004,
  internal: 5999,
} as const;

/** Name of a result code. */
export type ResultName = keyof typeof ResultCode;

/** Number of a result code. */
export type ResultNumber = (typeof ResultCode)[ResultName];

const names = new Map<number, ResultName>(
  Object.entries(ResultCode).map(([name, number]) => [number, name as ResultName]),
);

/** Name of a result code; undefined if the number is not a result code. */
export function resultNameOf(number: number): ResultName | undefined {
  return names.get(number);
}

/** True if the call was certainly not run. */
export function isNotRun(number: number): boolean {
  // Outcomes are deleted when their key expires, so an earlier attempt may have run.
  if (number === ResultCode.badKeyExpired) return false;
  return (number >= 1000 && number < 2000) || (number >= 3000 && number < 4000);
}

/** True if the call may have run. */
export function isOutcomeUnknown(number: number): boolean {
  if (number === ResultCode.badKeyExpired) return true;
  return number >= 2000 && number < 3000;
}

/** HTTP status of a response with this result code to callers. */
export function httpStatusOf(number: number): number {
  if (number === ResultCode.ok) return 200;
  if (number === ResultCode.badUnknownCall) return 404;
  if (number === ResultCode.badBodyTooLarge) return 413;
  if (number >= 3000 && number < 5000) return 400;
  if (isOutcomeUnknown(number)) return 504;
  return 503;
}
