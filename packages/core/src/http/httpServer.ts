import { createServer } from 'node:http';
import type { IncomingMessage, OutgoingHttpHeaders, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import polka from 'polka';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { failureResponse } from '../calls/callResponse.js';
import { CallHeader } from '../calls/callHeaders.js';
import { ArrivalBatch } from '../runtime/arrivalBatch.js';
import { ByteCollector } from '../runtime/byteCollector.js';
import { systemClock } from '../runtime/clock.js';
import type { Clock } from '../runtime/clock.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { ResultCode } from '../runtime/resultCode.js';

/** Timeout for receiving a complete request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 15_000;

/** Time that a closing server waits for responses to be transmitted, in milliseconds. */
const FLUSH_TIMEOUT_MS = 2000;

const emptyBody = Buffer.alloc(0);

const activeRequests = new WeakMap<Server, Set<Promise<void>>>();

/** HTTP request with its complete body. */
export interface HttpRequest {
  method: string;
  path: string;
  /** Path and query as sent. */
  url: string;
  headers: Record<string, string | string[] | undefined>;
  body: Buffer;
  /** IP address of the client. */
  remoteAddress: string;
  /** Aborted when the client disconnects before the response is written. */
  signal: AbortSignal;
}

/** HTTP response with its complete body. */
export interface HttpResponse {
  status: number;
  headers: Record<string, string>;
  body: Buffer;
  /** Send no length: the response had none at its origin, so its completeness is not verified. */
  endsWithConnection?: boolean;
}

/** Handles a request; resolves with its response. */
export type HttpHandler = (request: HttpRequest) => Promise<HttpResponse>;

/** Listening HTTP server and its port. */
export interface ListeningServer {
  server: Server;
  port: number;
}

/** Error of a request body that is larger than the limit. */
export class BodyTooLargeError extends Error {
  constructor(readonly limitBytes: number) {
    super(`the body is larger than ${limitBytes} bytes`);
  }
}

/** Length that the head of a request announces, at most `limitBytes`; 0 if it is unknown. */
function expectedBytesOf({ headers }: IncomingMessage, limitBytes: number): number {
  return Math.min(Number(headers['content-length'] ?? 0), limitBytes);
}

/** Reads a request body; rejects when it is incomplete or larger than `limitBytes`. */
export function readBody(stream: IncomingMessage, limitBytes: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const collector = new ByteCollector(expectedBytesOf(stream, limitBytes));
    let size = 0;
    stream.on('data', (piece: Buffer) => {
      size += piece.length;
      if (size <= limitBytes) collector.append(piece);
      else collector.clear();
    });
    stream.on('end', () => {
      if (size > limitBytes) reject(new BodyTooLargeError(limitBytes));
      else resolve(collector.take());
    });
    stream.on('error', reject);
    stream.on('aborted', () =>
      reject(new Error('the client disconnected before the request was complete')),
    );
  });
}

function writeResponse(response: ServerResponse, httpResponse: HttpResponse): void {
  if (response.destroyed) return;
  const headers: OutgoingHttpHeaders = { ...httpResponse.headers };
  if (httpResponse.endsWithConnection) {
    response.useChunkedEncodingByDefault = false;
    headers.connection = 'close';
  } else headers['content-length'] = httpResponse.body.length;
  // The client matches the response to its request by the echoed id.
  const id = response.req.headers[CallHeader.request];
  if (id === undefined) delete headers[CallHeader.request];
  else headers[CallHeader.request] = id;
  response.writeHead(httpResponse.status, headers);
  response.end(httpResponse.body);
}

/** Reads the body; fails with `badBodyTooLarge` or `badRequest`. */
async function readRequestBody(
  incoming: IncomingMessage,
  limitBytes: number,
): Promise<Result<Buffer, Failure>> {
  const { headers } = incoming;
  if (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined) {
    incoming.resume();
    return Ok(emptyBody);
  }
  try {
    return Ok(await readBody(incoming, limitBytes));
  } catch (error) {
    const isTooLarge = error instanceof BodyTooLargeError;
    const code = isTooLarge ? ResultCode.badBodyTooLarge : ResultCode.badRequest;
    return Err(createFailure(code, (error as Error).message));
  }
}

async function serve(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  limitBytes: number,
  arrivals: ArrivalBatch,
  handler: HttpHandler,
): Promise<void> {
  const disconnected = new AbortController();
  outgoing.on('close', () => {
    if (!outgoing.writableFinished) disconnected.abort(new Error('the client disconnected'));
  });
  const body = await readRequestBody(incoming, limitBytes);
  if (body.isErr()) {
    writeResponse(outgoing, failureResponse(body.error));
    return;
  }
  await new Promise<void>((resolve) => {
    arrivals.add(resolve);
  });
  // The end of the connection is known here some turns before the response reports its close.
  if (incoming.socket.destroyed || incoming.socket.readableEnded) return;
  const response = await handler({
    method: incoming.method ?? 'GET',
    url: incoming.url ?? '/',
    path: (incoming.url ?? '/').split('?', 1)[0] as string,
    headers: incoming.headers,
    body: body.value,
    remoteAddress: incoming.socket.remoteAddress ?? '',
    signal: disconnected.signal,
  });
  writeResponse(outgoing, response);
}

/** Starts an HTTP server that passes every request to `handler`; port 0 selects a free port. */
export function listenHttp(
  address: string,
  port: number,
  limitBytes: number,
  handler: HttpHandler,
): Promise<ListeningServer> {
  const server = createServer();
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  const arrivals = new ArrivalBatch();
  const active = new Set<Promise<void>>();
  activeRequests.set(server, active);
  const application = polka({ server });
  application.use((incoming, response) => {
    const served = serve(incoming, response, limitBytes, arrivals, handler).catch(
      (error: unknown) => {
        // The handler may have executed the request, so the code must not say "not run".
        const failure = createFailure(ResultCode.internal, (error as Error).message);
        writeResponse(response, failureResponse(failure));
      },
    );
    active.add(served);
    served.finally(() => active.delete(served)).catch(() => undefined);
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    application.listen(port, address, () => {
      resolve({ server, port: (server.address() as AddressInfo).port });
    });
  });
}

async function waitForRequests(active: Set<Promise<void>>): Promise<void> {
  while (active.size > 0) await Promise.allSettled(active);
}

/** Stops listening and waits for the requests in flight, then closes all connections. */
export async function closeHttp(server: Server, clock: Clock = systemClock): Promise<void> {
  const closed = new Promise<void>((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
  await waitForRequests(activeRequests.get(server) ?? new Set());
  // Every request has its response; an unresponsive client must not keep the server open.
  const flush = clock.startTimer(FLUSH_TIMEOUT_MS, () => server.closeAllConnections());
  await closed;
  flush.cancel();
}
