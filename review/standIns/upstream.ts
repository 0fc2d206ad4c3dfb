// Stand-in of an application upstream. Its only parameter is its settings as JSON. It prints a line
// of JSON when it listens and for each request that it runs.
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { pathToFileURL } from 'node:url';

/** How the requests of a path prefix are answered. Requests are numbered from 1. */
export interface AnswerRules {
  workMs?: number;
  bodyBytes?: number;
  /** The answer has no length and ends with its connection. */
  unframed?: boolean;
  /** Of the requests, every one with a number that this divides is answered with `trouble`. */
  troubleEach?: number;
  trouble?: Trouble;
}

/**
 * What is wrong with an answer: it is reset in the middle of its body, its body has no end, or the
 * first digit of its status is 0.
 */
export type Trouble = 'reset' | 'endless' | 'wrongByte';

/** Settings of an upstream. */
export interface UpstreamSettings {
  address: string;
  port: number;
  /** Id of the only instance for which it runs requests. */
  targetId: string;
  /** By path prefix. */
  answers: Record<string, AnswerRules>;
}

const DEFAULT_BODY_BYTES = 64;
const IDLE_TIMEOUT_MS = 10_000;
/** Written again and again in an answer without an end: chunks of one byte. */
const TINY_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(8192));

function print(event: object): void {
  process.stdout.write(`${JSON.stringify(event)}\n`);
}

function writeForever(socket: Socket): void {
  const write = (): void => {
    let hasRoom = true;
    while (hasRoom && !socket.destroyed) hasRoom = socket.write(TINY_CHUNKS);
  };
  socket.on('drain', write);
  write();
}

function writeHead(socket: Socket, status: string, headers: Record<string, string>): void {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  socket.write(`HTTP/1.1 ${status} OK\r\n${lines.join('')}\r\n`);
}

function answerWrongly(
  socket: Socket,
  headers: Record<string, string>,
  body: Buffer,
  trouble: Trouble,
): void {
  const length = { 'Content-Length': String(body.length) };
  if (trouble === 'reset') {
    const half = body.subarray(0, body.length / 2);
    writeHead(socket, '200', { ...headers, Connection: 'close' });
    socket.write(half);
    socket.resetAndDestroy();
  } else if (trouble === 'endless') {
    writeHead(socket, '200', { ...headers, 'Transfer-Encoding': 'chunked' });
    writeForever(socket);
  } else {
    writeHead(socket, '000', { ...headers, ...length });
    socket.write(body);
  }
}

function answer(
  incoming: IncomingMessage,
  response: ServerResponse,
  { bodyBytes = DEFAULT_BODY_BYTES, unframed = false }: AnswerRules,
  trouble: Trouble | undefined,
): void {
  const id = String(incoming.headers['request-id']);
  const headers = { 'Request-Id': id, 'Response-Signature': `signed.${id}` };
  const body = Buffer.alloc(bodyBytes, 'x');
  if (trouble) {
    answerWrongly(incoming.socket, headers, body, trouble);
    return;
  }
  response.useChunkedEncodingByDefault = false;
  const framing = unframed ? { Connection: 'close' } : { 'Content-Length': body.length };
  response.writeHead(200, { ...headers, ...framing });
  response.end(body);
}

function startUpstream({ address, port, targetId, answers }: UpstreamSettings): void {
  const counts = new Map<string, number>();
  const server = createServer((incoming, response) => {
    const expected = incoming.headers['expected-instance'];
    if (expected !== undefined && expected !== targetId) {
      response.writeHead(421, { 'Instance-Id': targetId }).end();
      return;
    }
    const prefix = Object.keys(answers).find((known) => incoming.url?.startsWith(known)) ?? '';
    const rules = answers[prefix] ?? {};
    const number = (counts.get(prefix) ?? 0) + 1;
    counts.set(prefix, number);
    const isTroubled = rules.troubleEach !== undefined && number % rules.troubleEach === 0;
    const trouble = isTroubled ? rules.trouble : undefined;
    incoming.resume();
    incoming.on('end', () => {
      print({ event: 'run', id: incoming.headers['request-id'], number, trouble });
      setTimeout(() => answer(incoming, response, rules, trouble), rules.workMs ?? 0);
    });
  });
  server.keepAliveTimeout = IDLE_TIMEOUT_MS;
  server.listen(port, address, () => print({ event: 'listening' }));
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  startUpstream(JSON.parse(process.argv[2] ?? '{}') as UpstreamSettings);
}
