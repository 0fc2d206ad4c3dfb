import type { IncomingHttpHeaders } from 'node:http';
import type { CallResponse, CallHeaders } from './call.js';
import { CallHeader } from './callHeaders.js';
import { headersWithout, isConnectionHeader } from '../http/endToEndHeaders.js';
import type { Failure } from '../runtime/failure.js';
import { ResultCode, httpStatusOf, resultNameOf } from '../runtime/resultCode.js';
import type { ResultNumber } from '../runtime/resultCode.js';

const ownPrefix = 'x-shallotcroft-';

/** Headers that pass through unchanged: all but those of the connection and of this protocol. */
export function forwardedHeaders(headers: IncomingHttpHeaders): CallHeaders {
  return headersWithout(
    headers,
    (name) => name.startsWith(ownPrefix) || name === CallHeader.key || isConnectionHeader(name),
  );
}

/** The answer that tells a failure: its number in a header, its message as JSON. */
export function failureResponse(failure: Failure): CallResponse {
  return {
    status: httpStatusOf(failure.code),
    headers: { 'content-type': 'application/json', [CallHeader.code]: String(failure.code) },
    body: Buffer.from(JSON.stringify(failure)),
  };
}

/** Result code of a daemon's answer; `internal` when it carries none, so that no daemon gave it. */
export function resultCodeOf(response: CallResponse): ResultNumber {
  const number = Number(response.headers[CallHeader.code] ?? ResultCode.internal);
  return resultNameOf(number) ? (number as ResultNumber) : ResultCode.internal;
}

/** A whole number in a header of an answer, or `fallback` when it is absent or wrong. */
export function numberHeaderOf(response: CallResponse, name: string, fallback: number): number {
  const number = Number(response.headers[name] ?? fallback);
  return Number.isSafeInteger(number) && number >= 0 ? number : fallback;
}
