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

/** Values of a root call that are propagated to every call of its call tree. */
export interface CallContext {
  /** Request id of the root call. */
  root: string;
  /** Name of the root caller. */
  caller: string;
  /** Importance of the root call. */
  importance: Importance;
  /** Deadline of the call on the monotonic clock, in milliseconds. */
  deadlineAt: number;
  /** Idempotency key of a call that may run at most once. */
  key: string | undefined;
}

/** Call context as one daemon sends it to another, with the tokens granted to the attempt. */
export interface HopContext extends CallContext {
  tokens: number;
}

function invalidHeader(name: string, expected: string): Failure {
  return createFailure(ResultCode.badHeader, `header ${name} is invalid: expected ${expected}`);
}

const noFallback = (): string => '';

/** Reads a header that holds a name; fails with `badHeader` unless it is short and printable. */
export function parseName(
  headers: CallHeaders,
  name: string,
  fallback: () => string,
): Result<string, Failure> {
  const value = headers[name] ?? fallback();
  if (value.length > MAX_NAME_LENGTH || !namePattern.test(value)) {
    return Err(invalidHeader(name, `1 to ${MAX_NAME_LENGTH} printable characters without spaces`));
  }
  return Ok(value);
}

function parseImportance(headers: CallHeaders): Result<Importance, Failure> {
  const value = importances.find((importance) => importance === headers[CallHeader.importance]);
  if (!value) return Err(invalidHeader(CallHeader.importance, importances.join(', ')));
  return Ok(value);
}

/** Encodes the headers of an attempt that is sent to another daemon. */
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

/** Decodes the headers of an attempt that another daemon sent; fails with `badHeader`. */
export function decodeHop(headers: CallHeaders, now: number): Result<HopContext, Failure> {
  const root = parseName(headers, CallHeader.root, noFallback);
  if (root.isErr()) return root;
  const caller = parseName(headers, CallHeader.caller, noFallback);
  if (caller.isErr()) return caller;
  const importance = parseImportance(headers);
  if (importance.isErr()) return importance;
  const remainingMs = parseDeadlineMs(headers[CallHeader.deadline]);
  if (remainingMs.isErr()) return remainingMs;
  const tokens = parseTokens(headers[CallHeader.tokens]);
  if (tokens.isErr()) return tokens;
  return Ok({
    root: root.value,
    caller: caller.value,
    importance: importance.value,
    deadlineAt: now + (remainingMs.value ?? 0),
    key: headers[CallHeader.key],
    tokens: tokens.value,
  });
}
