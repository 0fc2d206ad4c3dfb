import type { IncomingHttpHeaders } from 'node:http';
import type { CallHeaders } from '../calls/call.js';

// Headers that belong to one connection, or that the HTTP library writes itself.
const connectionHeaders = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** True for headers that must not go on to another connection. */
export function isConnectionHeader(name: string): boolean {
  return connectionHeaders.has(name);
}

/** A copy without the headers that are left out, several values of one name joined. */
export function headersWithout(
  headers: IncomingHttpHeaders,
  isLeftOut: (name: string) => boolean,
): CallHeaders {
  const kept: CallHeaders = {};
  for (const name in headers) {
    if (isLeftOut(name)) continue;
    const value = headers[name];
    if (typeof value === 'string') kept[name] = value;
    else if (value) kept[name] = value.join(', ');
  }
  return kept;
}

/** Headers that go on to the next hop, without those that belong to one connection. */
export function endToEndHeaders(headers: IncomingHttpHeaders): CallHeaders {
  return headersWithout(headers, isConnectionHeader);
}
