import type { IncomingHttpHeaders } from 'node:http';
import type { CallHeaders } from '../calls/call.js';

// Hop-by-hop headers, and headers that the HTTP library sets itself.
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

/** Whether a header (in lower case) must not be forwarded to another connection. */
export function isConnectionHeader(name: string): boolean {
  return connectionHeaders.has(name);
}

/** Copies headers without the excluded ones; joins several values of one name with commas. */
export function headersWithout(
  headers: IncomingHttpHeaders,
  isExcluded: (name: string) => boolean,
): CallHeaders {
  const kept: CallHeaders = {};
  for (const name in headers) {
    if (isExcluded(name)) continue;
    const value = headers[name];
    if (typeof value === 'string') kept[name] = value;
    else if (value) kept[name] = value.join(', ');
  }
  return kept;
}

/** Returns the headers to forward to the next hop: all but connection headers. */
export function endToEndHeaders(headers: IncomingHttpHeaders): CallHeaders {
  return headersWithout(headers, isConnectionHeader);
}
