import { createServer } from 'node:http';
import type {
  IncomingHttpHeaders,
  IncomingMessage,
  OutgoingHttpHeaders,
  Server,
  ServerResponse,
} from 'node:http';
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
import type { ResultNumber } from '../runtime/resultCode.js';
import { BodyTooLargeError } from './bodyTooLargeError.js';
import type { ByteShare } from './byteShare.js';
import { createHeldBytes } from './heldBytes.js';
import type { HeldBytes } from './heldBytes.js';
import { NoRoomForBodyError } from './noRoomForBodyError.js';

/** Timeout for receiving a complete request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 15_000;

/** Time that a closing server waits for responses to be transmitted, in milliseconds. */
const FLUSH_TIMEOUT_MS = 2000;

/** Time after which a request whose body found no room is to be retried, in seconds. */
const NO_ROOM_RETRY_AFTER_S = '1';

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

/** Length that the head of a request announces, at most `limitBytes`; 0 if it is unknown. */
function expectedBytesOf({ headers }: IncomingMessage, limitBytes: number): number {
  return Math.min(Number(headers['content-length'] ?? 0), limitBytes);
}

/**
 * Reads a request body; rejects when it is incomplete or larger than `limitBytes`, and at once when
 * `share` has no room for it. The rest of such a body is read and dropped, so that its client reads
 * the response.
 */
export function readBody(
  stream: IncomingMessage,
  limitBytes: number,
  share?: ByteShare,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const expectedBytes = expectedBytesOf(stream, limitBytes);
    const collector = new ByteCollector(expectedBytes);
    let size = 0;
    let heldBytes = 0;
    let isDropped = false;

    function hold(bytes: number): void {
      if (isDropped || bytes <= heldBytes) return;
      isDropped = share?.add(bytes - heldBytes) === false;
      heldBytes = bytes;
      if (!isDropped) return;
      collector.clear();
      share?.close();
      reject(new NoRoomForBodyError());
    }

    // A whole announced body gets its room first: parts of several would keep each other from it.
    hold(expectedBytes);
    stream.on('data', (piece: Buffer) => {
      size += piece.length;
      if (size <= limitBytes) hold(size);
      else collector.clear();
      if (size <= limitBytes && !isDropped) collector.append(piece);
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

function codeOfBodyError(error: unknown): ResultNumber {
  if (error instanceof NoRoomForBodyError) return ResultCode.notRunShed;
  return error instanceof BodyTooLargeError ? ResultCode.badBodyTooLarge : ResultCode.badRequest;
}

/** Reads the body; fails with `badBodyTooLarge`, `badRequest` or `notRunShed`. */
async function readRequestBody(
  incoming: IncomingMessage,
  limitBytes: number,
  share: ByteShare,
): Promise<Result<Buffer, Failure>> {
  const { headers } = incoming;
  if (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined) {
    incoming.resume();
    return Ok(emptyBody);
  }
  try {
    return Ok(await readBody(incoming, limitBytes, share));
  } catch (error) {
    return Err(createFailure(codeOfBodyError(error), (error as Error).message));
  }
}

async function serve(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  { limitBytes, handler, heldBytes, onBodyRefused }: HttpServerOptions & { heldBytes: HeldBytes },
  arrivals: ArrivalBatch,
): Promise<void> {
  const disconnected = new AbortController();
  const requestShare = heldBytes.requests.openShare();
  const responseShare = heldBytes.responses.openShare();
  outgoing.on('close', () => {
    if (!outgoing.writableFinished) disconnected.abort(new Error('the client disconnected'));
    requestShare.close();
    responseShare.close();
  });
  const body = await readRequestBody(incoming, limitBytes, requestShare);
  if (body.isErr()) {
    const response = failureResponse(body.error);
    if (body.error.code === ResultCode.notRunShed) {
      response.headers['retry-after'] = NO_ROOM_RETRY_AFTER_S;
      onBodyRefused?.(incoming.headers, body.error);
    }
    writeResponse(outgoing, response);
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
  if (!outgoing.destroyed) responseShare.addHeld(response.body.length);
  writeResponse(outgoing, response);
}

/** Options of a server that passes every request to `handler`. */
export interface HttpServerOptions {
  address: string;
  /** 0 selects a free port. */
  port: number;
  /** Limit of the size of a request body, in bytes. */
  limitBytes: number;
  handler: HttpHandler;
  /** Budgets of the bodies that are held; budgets of its own when absent. */
  heldBytes?: HeldBytes;
  /** Called when a request is rejected because there is no room for its body. */
  onBodyRefused?: (headers: IncomingHttpHeaders, failure: Failure) => void;
}

/** Starts an HTTP server. */
export function startHttpServer(options: HttpServerOptions): Promise<ListeningServer> {
  const serveOptions = { ...options, heldBytes: options.heldBytes ?? createHeldBytes() };
  const server = createServer();
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  const arrivals = new ArrivalBatch();
  const active = new Set<Promise<void>>();
  activeRequests.set(server, active);
  const application = polka({ server });
  application.use((incoming, response) => {
    const served = serve(incoming, response, serveOptions, arrivals).catch((error: unknown) => {
      // The handler may have executed the request, so the code must not say "not run".
      const failure = createFailure(ResultCode.internal, (error as Error).message);
      writeResponse(response, failureResponse(failure));
    });
    active.add(served);
    served.finally(() => active.delete(served)).catch(() => undefined);
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    application.listen(options.port, options.address, () => {
      resolve({ server, port: (server.address() as AddressInfo).port });
    });
  });
}

/** Starts an HTTP server that passes every request to `handler`; port 0 selects a free port. */
export function listenHttp(
  address: string,
  port: number,
  limitBytes: number,
  handler: HttpHandler,
): Promise<ListeningServer> {
  return startHttpServer({ address, port, limitBytes, handler });
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
