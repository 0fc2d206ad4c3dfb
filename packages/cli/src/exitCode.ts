import { ResultCode } from '@shallotcroft/core';

/** Exit codes of the command line; docs/reference/cli.md describes them. */
export const ExitCode = {
  ok: 0,
  notRun: 1,
  outcomeUnknown: 2,
  badRequest: 3,
  configuration: 4,
  platform: 5,
} as const;

/** Returns the exit code for a result code: the thousands of the code name its family. */
export function exitCodeOf(code: number): number {
  if (code === ResultCode.storeOutcomeUnknown) return ExitCode.outcomeUnknown;
  return Math.min(Math.floor(code / 1000), ExitCode.platform);
}
