import type { IncomingHttpHeaders } from 'node:http';
import type { CallHeaders } from './call.js';

// Headers that belong to one connection, or that the HTTP library writes itself.
const connectionHeaders = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Headers that go on to the next hop, without those that belong to one connection. */
export function endToEndHeaders(headers: IncomingHttpHeaders): CallHeaders {
  const kept: CallHeaders = {};
  for (const name in headers) {
    if (connectionHeaders.has(name)) continue;
    const value = headers[name];
    if (typeof value === 'string') kept[name] = value;
    else if (value) kept[name] = value.join(', ');
  }
  return kept;
}
