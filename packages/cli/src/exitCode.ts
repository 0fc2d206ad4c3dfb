import { ResultCode } from '@shallotcroft/core';

/** Exit codes; docs/reference/cli.md has the table. */
export const ExitCode = {
  ok: 0,
  notRun: 1,
  outcomeUnknown: 2,
  badRequest: 3,
  configuration: 4,
  platform: 5,
} as const;

/** The exit code that tells the family of a result code. */
export function exitCodeOf(code: number): number {
  if (code === ResultCode.storeOutcomeUnknown) return ExitCode.outcomeUnknown;
  return Math.min(Math.floor(code / 1000), ExitCode.platform);
}
