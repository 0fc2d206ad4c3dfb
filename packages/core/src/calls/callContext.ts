import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { parseTokens } from '../attempts/attemptAllowance.js';
import type { CallHeaders } from './call.js';
import { CallHeader } from './callHeaders.js';
import { importances } from '../configuration/configuration.js';
import type { Importance } from '../configuration/configuration.js';
import { parseDeadlineMs } from './deadline.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { ResultCode } from '../runtime/resultCode.js';

const MAX_NAME_LENGTH = 200;
const namePattern = /^[\x21-\x7e]+$/;

/** What every call of one tree carries down from its root. */
export interface CallContext {
  /** Request id of the root call. */
  root: string;
  /** Name of the root caller. */
  caller: string;
  /** Importance of the root call. */
  importance: Importance;
  /** When the caller stops waiting, on the monotonic clock, in milliseconds. */
  deadlineAt: number;
  /** Key of a call that may run at most once. */
  key: string | undefined;
}

/** A context as one daemon sends it to another, with the tokens granted to the attempt. */
export interface HopContext extends CallContext {
  tokens: number;
}

function wrongHeader(name: string, expected: string): Failure {
  return createFailure(ResultCode.badHeader, `header ${name} is wrong: give ${expected}`);
}

const absent = (): string => '';

/** A header that names something: short, printable, without spaces. */
export function readName(
  headers: CallHeaders,
  name: string,
  fallback: () => string,
): Result<string, Failure> {
  const value = headers[name] ?? fallback();
  if (value.length > MAX_NAME_LENGTH || !namePattern.test(value)) {
    return Err(wrongHeader(name, `1 to ${MAX_NAME_LENGTH} printable characters without spaces`));
  }
  return Ok(value);
}

function readImportance(headers: CallHeaders): Result<Importance, Failure> {
  const value = importances.find((importance) => importance === headers[CallHeader.importance]);
  if (!value) return Err(wrongHeader(CallHeader.importance, importances.join(', ')));
  return Ok(value);
}

/** Headers of an attempt between two daemons. */
export function encodeHop(context: CallContext, tokens: number, remainingMs: number): CallHeaders {
  const headers: CallHeaders = {
    [CallHeader.root]: context.root,
    [CallHeader.caller]: context.caller,
    [CallHeader.importance]: context.importance,
    [CallHeader.deadline]: String(remainingMs),
    [CallHeader.tokens]: String(tokens),
  };
  if (context.key) headers[CallHeader.key] = context.key;
  return headers;
}

/** Reads the headers of an attempt that another daemon sent; fails with `badHeader`. */
export function decodeHop(headers: CallHeaders, now: number): Result<HopContext, Failure> {
  const root = readName(headers, CallHeader.root, absent);
  if (root.isErr()) return root;
  const caller = readName(headers, CallHeader.caller, absent);
  if (caller.isErr()) return caller;
  const importance = readImportance(headers);
  if (importance.isErr()) return importance;
  const remaining = parseDeadlineMs(headers[CallHeader.deadline]);
  if (remaining.isErr()) return remaining;
  const tokens = parseTokens(headers[CallHeader.tokens]);
  if (tokens.isErr()) return tokens;
  return Ok({
    root: root.value,
    caller: caller.value,
    importance: importance.value,
    deadlineAt: now + (remaining.value ?? 0),
    key: headers[CallHeader.key],
    tokens: tokens.value,
  });
}
