import { createServer } from 'node:http';
import type { IncomingMessage, OutgoingHttpHeaders, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import polka from 'polka';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { failureResponse } from '../calls/callResponse.js';
import { CallHeader } from '../calls/callHeaders.js';
import { systemClock } from '../runtime/clock.js';
import type { Clock } from '../runtime/clock.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { ResultCode } from '../runtime/resultCode.js';

/** A request that has not arrived whole by then is cut off, in milliseconds. */
const REQUEST_TIMEOUT_MS = 15_000;

/** Time that a closing server gives answers to leave, in milliseconds. */
const FLUSH_MS = 2000;

const noBody = Buffer.alloc(0);

const activeRequests = new WeakMap<Server, Set<Promise<void>>>();

/** A whole HTTP request. */
export interface HttpRequest {
  method: string;
  path: string;
  /** Path and query as they were sent. */
  url: string;
  headers: Record<string, string | string[] | undefined>;
  body: Buffer;
  /** IP address of the other end. */
  remoteAddress: string;
  /** Aborted when the other end has gone before the answer was written. */
  signal: AbortSignal;
}

/** A whole HTTP answer. */
export interface HttpResponse {
  status: number;
  headers: Record<string, string>;
  body: Buffer;
  /** Tells no length: whoever made the answer gave none, so its end cannot be vouched for. */
  endsWithConnection?: boolean;
}

/** Answers one request. */
export type HttpHandler = (message: HttpRequest) => Promise<HttpResponse>;

/** A server that listens. */
export interface ListeningServer {
  server: Server;
  port: number;
}

/** Thrown while reading a body that is larger than allowed. */
export class BodyTooLargeError extends Error {
  constructor(readonly limitBytes: number) {
    super(`the body is larger than ${limitBytes} bytes`);
  }
}

/** Reads a body to its end; rejects when it is cut off or too large. */
export function readBody(stream: IncomingMessage, limitBytes: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    stream.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= limitBytes) chunks.push(chunk);
      else chunks.length = 0;
    });
    stream.on('end', () => {
      if (size > limitBytes) reject(new BodyTooLargeError(limitBytes));
      else resolve(chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks));
    });
    stream.on('error', reject);
    stream.on('aborted', () => reject(new Error('the request was cut off')));
  });
}

function writeAnswer(response: ServerResponse, answer: HttpResponse): void {
  if (response.destroyed) return;
  const headers: OutgoingHttpHeaders = { ...answer.headers };
  if (answer.endsWithConnection) {
    response.useChunkedEncodingByDefault = false;
    headers.connection = 'close';
  } else headers['content-length'] = answer.body.length;
  // By the id of its request the other end knows that the answer is its own.
  const id = response.req.headers[CallHeader.request];
  if (id === undefined) delete headers[CallHeader.request];
  else headers[CallHeader.request] = id;
  response.writeHead(answer.status, headers);
  response.end(answer.body);
}

/** The body, or why nothing was done with the request. */
async function readWhole(
  incoming: IncomingMessage,
  limitBytes: number,
): Promise<Result<Buffer, Failure>> {
  const { headers } = incoming;
  if (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined) {
    incoming.resume();
    return Ok(noBody);
  }
  try {
    return Ok(await readBody(incoming, limitBytes));
  } catch (error) {
    const tooLarge = error instanceof BodyTooLargeError;
    const code = tooLarge ? ResultCode.badBodyTooLarge : ResultCode.badRequest;
    return Err(createFailure(code, (error as Error).message));
  }
}

async function serve(
  incoming: IncomingMessage,
  response: ServerResponse,
  limitBytes: number,
  handler: HttpHandler,
): Promise<void> {
  const gone = new AbortController();
  response.on('close', () => {
    if (!response.writableFinished) gone.abort(new Error('the caller has gone'));
  });
  const body = await readWhole(incoming, limitBytes);
  if (body.isErr()) {
    writeAnswer(response, failureResponse(body.error));
    return;
  }
  const answer = await handler({
    method: incoming.method ?? 'GET',
    url: incoming.url ?? '/',
    path: (incoming.url ?? '/').split('?', 1)[0] as string,
    headers: incoming.headers,
    body: body.value,
    remoteAddress: incoming.socket.remoteAddress ?? '',
    signal: gone.signal,
  });
  writeAnswer(response, answer);
}

/** Listens for HTTP and answers every request through `handler`. */
export function listenHttp(
  address: string,
  port: number,
  limitBytes: number,
  handler: HttpHandler,
): Promise<ListeningServer> {
  const server = createServer();
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  const active = new Set<Promise<void>>();
  activeRequests.set(server, active);
  const application = polka({ server });
  application.use((incoming, response) => {
    const served = serve(incoming, response, limitBytes, handler).catch((error: unknown) => {
      // The handler may have done its work, so this must not look like a refusal.
      const failure = createFailure(ResultCode.internal, (error as Error).message);
      writeAnswer(response, failureResponse(failure));
    });
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

async function finishRequests(active: Set<Promise<void>>): Promise<void> {
  while (active.size > 0) await Promise.allSettled(active);
}

/** Stops listening; requests under way are answered first. */
export async function closeHttp(server: Server, clock: Clock = systemClock): Promise<void> {
  const closed = new Promise<void>((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
  await finishRequests(activeRequests.get(server) ?? new Set());
  // All is answered; a caller that went silent must not hold the server open for good.
  const flush = clock.startTimer(FLUSH_MS, () => server.closeAllConnections());
  await closed;
  flush.cancel();
}
