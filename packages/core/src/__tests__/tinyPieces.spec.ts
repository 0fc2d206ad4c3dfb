import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { MessageStream } from '../forwarding/messageStream.js';
import { HttpCallTransport } from '../http/httpCallTransport.js';
import { closeHttp, listenHttp } from '../http/httpServer.js';
import { readText } from '../http/readText.js';
import { systemClock } from '../runtime/clock.js';
import { ResultCode } from '../runtime/resultCode.js';

const PIECES = 400_000;
/** Memory that a received byte may hold, in bytes; a buffer of its own costs over a hundred. */
const MAX_HELD_PER_BYTE = 16;
const HTTP_PIECE = '1\r\nx\r\n';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function heldBytes(): number {
  collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

function assertHeld(baseBytes: number, pieces: number): void {
  const perByte = (heldBytes() - baseBytes) / pieces;
  assert.ok(perByte < MAX_HELD_PER_BYTE, `${perByte.toFixed(1)} bytes are held for each byte`);
}

/** Writes pieces in batches; resolves when the peer has taken all of them from the socket. */
async function writePieces(socket: Socket): Promise<void> {
  const batch = HTTP_PIECE.repeat(1000);
  for (let written = 0; written < PIECES; written += 1000) {
    if (!socket.write(batch)) {
      await new Promise((resolve) => {
        socket.once('drain', resolve);
      });
    }
  }
}

/** Lets sockets deliver what they have received. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 200; turn++) await new Promise(setImmediate);
}

test('a response of a target in tiny pieces costs memory by its bytes, not by its pieces', async () => {
  let written: Promise<void> | undefined;
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
      written = writePieces(socket);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const transport = new HttpCallTransport({ clock: systemClock, incarnation: 'test' });
  const baseBytes = heldBytes();
  const cancellation = new AbortController();
  const sent = transport.send(
    { address: '127.0.0.1', port: (server.address() as AddressInfo).port },
    '/',
    { call: 'test', method: 'GET', headers: {}, body: Buffer.alloc(0) },
    { timeoutMs: 60_000, maxResponseBytes: 2 * PIECES, signal: cancellation.signal },
  );
  while (!written) await new Promise(setImmediate);
  await written;
  await settle();
  assertHeld(baseBytes, PIECES);
  cancellation.abort();
  assert.equal((await sent).unwrapErr().code, ResultCode.unknownCancelled);
  await transport.close();
  server.close();
});

test('a request body in tiny pieces costs memory by its bytes, not by its pieces', async () => {
  const { server, port } = await listenHttp('127.0.0.1', 0, 2 * PIECES, async ({ body }) => ({
    status: 200,
    headers: {},
    body: Buffer.from(String(body.length)),
  }));
  const baseBytes = heldBytes();
  const socket = connect({ host: '127.0.0.1', port });
  socket.write('POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n');
  await writePieces(socket);
  await settle();
  assertHeld(baseBytes, PIECES);
  const answered = new Promise<string>((resolve) => {
    socket.once('data', (data) => resolve(data.toString('latin1')));
  });
  socket.write('0\r\n\r\n');
  assert.match(await answered, new RegExp(`${PIECES}$`));
  socket.destroy();
  await closeHttp(server);
});

test('a message between daemons in tiny pieces costs memory by its bytes, not by its pieces', () => {
  const socket = new EventEmitter() as Socket;
  const received: [unknown, number][] = [];
  const stream = new MessageStream(socket, (fields, body) =>
    received.push([fields, body?.length ?? -1]),
  );
  const header = Buffer.alloc(8);
  header.writeUInt32BE(2, 0);
  header.writeUInt32BE(PIECES, 4);
  socket.emit('data', Buffer.concat([header, Buffer.from('[]')]));
  const baseBytes = heldBytes();
  for (let sent = 0; sent < PIECES - 1; sent++) socket.emit('data', Buffer.alloc(1));
  assertHeld(baseBytes, PIECES);
  socket.emit('data', Buffer.alloc(1));
  assert.deepEqual(received, [[[], PIECES]]);
  assert.ok(stream);
});

test('a text in tiny pieces costs memory by its bytes, not by its pieces', async () => {
  const baseBytes = heldBytes();
  async function* pieces(): AsyncGenerator<Buffer> {
    for (let sent = 0; sent < PIECES; sent++) yield Buffer.from('x');
    assertHeld(baseBytes, PIECES);
  }
  assert.equal((await readText(pieces(), PIECES)).length, PIECES);
});
