import type { CallAnswer, CallHeaders } from './call.js';
import { CallHeader } from './callHeaders.js';
import type { Failure } from './failure.js';
import { ResultCode, httpStatusOf, resultNameOf } from './resultCode.js';
import type { ResultNumber } from './resultCode.js';

const ownPrefix = 'x-shallotcroft-';
const connectionHeaders = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  CallHeader.key,
]);

/** Headers that pass through unchanged: all but those of the connection and of this protocol. */
export function passedHeaders(headers: Record<string, string | string[] | undefined>): CallHeaders {
  const passed: CallHeaders = {};
  Object.keys(headers).forEach((name) => {
    if (name.startsWith(ownPrefix) || connectionHeaders.has(name)) return;
    const value = headers[name];
    if (value !== undefined) passed[name] = typeof value === 'string' ? value : value.join(', ');
  });
  return passed;
}

/** The answer that tells a failure: its number in a header, its message as JSON. */
export function answerOfFailure(failure: Failure): CallAnswer {
  return {
    status: httpStatusOf(failure.code),
    headers: { 'content-type': 'application/json', [CallHeader.code]: String(failure.code) },
    body: Buffer.from(JSON.stringify(failure)),
  };
}

/** Result code of a daemon's answer; `internal` when it carries none, so that no daemon gave it. */
export function codeOfAnswer(answer: CallAnswer): ResultNumber {
  const number = Number(answer.headers[CallHeader.code] ?? ResultCode.internal);
  return resultNameOf(number) ? (number as ResultNumber) : ResultCode.internal;
}

/** A whole number in a header of an answer, or `fallback` when it is absent or wrong. */
export function numberOfAnswer(answer: CallAnswer, name: string, fallback: number): number {
  const number = Number(answer.headers[name] ?? fallback);
  return Number.isSafeInteger(number) && number >= 0 ? number : fallback;
}
