import assert from 'node:assert/strict';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import type { Result } from 'ts-results-es';
import type { CallResponse } from '../calls/call.js';
import { HopServer } from '../forwarding/hopServer.js';
import { HttpCallTransport } from '../http/httpCallTransport.js';
import { silentLogger } from '../observability/logger.js';
import { RpcPeerCaller } from '../peers/peerCaller.js';
import type { Failure } from '../runtime/failure.js';
import { systemClock } from '../runtime/clock.js';
import { ResultCode } from '../runtime/resultCode.js';
import { targetPeer } from './support/hopSamples.js';

const MB = 1024 * 1024;
const head = 'HTTP/1.1 200 OK\r\nRequest-Id: a\r\n';
const defaultFiller = Buffer.alloc(256 * 1024, 'x');

/** Writes `start` and then `filler` again and again until the peer closes the connection. */
function writeForever(socket: Socket, start: string, filler: Buffer = defaultFiller): void {
  socket.write(start);
  const fill = (): void => {
    while (!socket.destroyed && socket.write(filler));
  };
  socket.on('drain', fill);
  fill();
}

/** Sends `count` requests at once to a server whose responses begin with `start` and never end. */
async function endlessResponses(
  start: string,
  count: number,
  filler?: Buffer,
): Promise<{ sent: Result<CallResponse, Failure>[]; peakBytes: number; openSockets: number }> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.once('data', () => writeForever(socket, start, filler));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const transport = new HttpCallTransport({
    clock: systemClock,
    incarnation: 'test',
    requiresEcho: true,
    idHeader: 'request-id',
    allowsCloseDelimited: true,
  });
  const { port } = server.address() as AddressInfo;
  const baseBytes = process.memoryUsage().arrayBuffers;
  let peakBytes = 0;
  const sampling = setInterval(() => {
    peakBytes = Math.max(peakBytes, process.memoryUsage().arrayBuffers - baseBytes);
  }, 5);
  const sent = await Promise.all(
    Array.from({ length: count }, () =>
      transport.send(
        { address: '127.0.0.1', port },
        '/',
        { call: 'test', method: 'GET', id: 'a', headers: {}, body: Buffer.alloc(0) },
        { timeoutMs: 20_000, maxResponseBytes: 64 * MB, signal: new AbortController().signal },
      ),
    ),
  );
  clearInterval(sampling);
  while (sockets.size > 0) await new Promise(setImmediate);
  await transport.close();
  server.close();
  return { sent, peakBytes, openSockets: sockets.size };
}

test('endless bodies from many responses at once are ended before they fill the memory', async () => {
  const { sent, peakBytes } = await endlessResponses(`${head}\r\n`, 8);
  sent.forEach((result) => {
    assert.equal(result.unwrapErr().code, ResultCode.unknownAnswerTooLarge);
  });
  assert.ok(peakBytes < 160 * MB, `${Math.round(peakBytes / MB)} MB were held`);
});

test('an endless chunked body is ended', async () => {
  const chunk = `${head}Transfer-Encoding: chunked\r\n\r\nffffffff\r\n`;
  const { sent } = await endlessResponses(chunk, 2);
  sent.forEach((result) => {
    assert.equal(result.unwrapErr().code, ResultCode.unknownAnswerTooLarge);
  });
});

test('an endless head is ended, and its request has an unknown outcome', async () => {
  const { sent } = await endlessResponses(`${head}X-Filler: `, 2);
  sent.forEach((result) => {
    assert.equal(result.unwrapErr().code, ResultCode.unknownConnectionLost);
  });
});

const framings: [string, string, string][] = [
  ['spaces before the value of a header', `${head}X: `, ' '.repeat(64 * 1024)],
  ['headers with much space', head, `a:${' '.repeat(64 * 1024)}\r\n`],
  ['a reason phrase', 'HTTP/1.1 200 ', 'O'.repeat(64 * 1024)],
  ['interim responses', '', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(1024)],
];

framings.forEach(([name, start, filler]) => {
  test(`an endless head is ended though its content stays small: ${name}`, async () => {
    const { sent } = await endlessResponses(start, 2, Buffer.from(filler));
    sent.forEach((result) => {
      assert.equal(result.unwrapErr().code, ResultCode.unknownConnectionLost);
    });
  });
});

const bodyFramings: [string, string][] = [
  ['an extension of a chunk', `1;${'x'.repeat(64 * 1024)}`],
  ['trailers with much space', `0\r\na:${' '.repeat(64 * 1024)}`],
];

bodyFramings.forEach(([name, start]) => {
  test(`an endless body is ended though its content stays small: ${name}`, async () => {
    const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n${start}`;
    const filler = Buffer.alloc(64 * 1024, name.startsWith('trailers') ? ' ' : 'x');
    const { sent } = await endlessResponses(chunked, 2, filler);
    sent.forEach((result) => {
      assert.equal(result.unwrapErr().code, ResultCode.unknownAnswerTruncated);
    });
  });
});

test('an endless response of another daemon to a control message is ended', async () => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.once('data', () => writeForever(socket, 'HTTP/1.1 200 OK\r\n\r\n'));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const caller = new RpcPeerCaller();
  const called = await caller.call({ address: '127.0.0.1', port }, 'any', {}, 20_000);
  assert.match(called.unwrapErr().message, /longer than \d+ bytes/);
  while (sockets.size > 0) await new Promise(setImmediate);
  await caller.close();
  server.close();
});

test('an endless message between daemons closes its connection', async () => {
  const server = new HopServer(
    targetPeer,
    () => Promise.reject(new Error('no request is expected')),
    silentLogger,
  );
  const socket = connect({ host: '127.0.0.1', port: await server.listen('127.0.0.1', 0) });
  socket.on('error', () => undefined);
  const closed = new Promise((resolve) => {
    socket.on('close', resolve);
  });
  // The header of a frame that announces more than any message has.
  writeForever(socket, '\x7f\x7f\x7f\x7f\x7f\x7f\x7f\x7f');
  await closed;
  server.close();
});
