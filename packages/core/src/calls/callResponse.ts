import type { IncomingHttpHeaders } from 'node:http';
import type { CallResponse, CallHeaders } from './call.js';
import { CallHeader } from './callHeaders.js';
import { headersWithout, isConnectionHeader } from '../http/endToEndHeaders.js';
import type { Failure } from '../runtime/failure.js';
import { ResultCode, httpStatusOf, resultNameOf } from '../runtime/resultCode.js';
import type { ResultNumber } from '../runtime/resultCode.js';

const protocolPrefix = 'x-shallotcroft-';

/** Returns the headers to forward: all but connection headers and headers of this protocol. */
export function forwardedHeaders(headers: IncomingHttpHeaders): CallHeaders {
  return headersWithout(
    headers,
    (name) =>
      name.startsWith(protocolPrefix) || name === CallHeader.key || isConnectionHeader(name),
  );
}

/** Creates the response that reports a failure: its code in a header, the failure as JSON body. */
export function failureResponse(failure: Failure): CallResponse {
  return {
    status: httpStatusOf(failure.code),
    headers: { 'content-type': 'application/json', [CallHeader.code]: String(failure.code) },
    body: Buffer.from(JSON.stringify(failure)),
  };
}

/**
 * Returns the result code of a response; `internal` when it carries no valid one, as a response
 * that does not come from a daemon.
 */
export function resultCodeOf(response: CallResponse): ResultNumber {
  const number = Number(response.headers[CallHeader.code] ?? ResultCode.internal);
  return resultNameOf(number) ? (number as ResultNumber) : ResultCode.internal;
}

/** Returns a non-negative integer header of a response; `fallback` when absent or invalid. */
export function numberHeaderOf(response: CallResponse, name: string, fallback: number): number {
  const number = Number(response.headers[name] ?? fallback);
  return Number.isSafeInteger(number) && number >= 0 ? number : fallback;
}
