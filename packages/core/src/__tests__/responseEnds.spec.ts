import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import type { Result } from 'ts-results-es';
import type { CallResponse } from '../calls/call.js';
import { systemClock } from '../runtime/clock.js';
import type { Failure } from '../runtime/failure.js';
import { HttpCallTransport } from '../http/httpCallTransport.js';
import { ResultCode } from '../runtime/resultCode.js';

type ConnectionEnd = 'close' | 'reset' | 'resetAtOnce' | 'stay';

const RESET_DELAY_MS = 20;

function endConnection(socket: Socket, end: ConnectionEnd): void {
  if (end === 'close') socket.end();
  // The delay lets the transport read the bytes that precede the reset.
  else if (end === 'reset') setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
}

/** Sends a GET; the server responds with `bytes` and then ends the connection as `end` says. */
async function responseTo(
  bytes: string,
  end: ConnectionEnd,
): Promise<Result<CallResponse, Failure>> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(bytes, () => endConnection(socket, end));
      // The reset has arrived when the transport reads the bytes.
      if (end === 'resetAtOnce') socket.resetAndDestroy();
    });
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
  const sent = await transport.send(
    { address: '127.0.0.1', port },
    '/',
    { call: 'test', method: 'GET', id: 'a', headers: {}, body: Buffer.alloc(0) },
    { timeoutMs: 2000, maxResponseBytes: 1000, signal: new AbortController().signal },
  );
  await transport.close();
  server.close();
  return sent;
}

const head = 'HTTP/1.1 200 OK\r\nRequest-Id: a\r\n';
const chunkedClose = `${head}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n`;

test('a response without a length is complete when its connection is closed cleanly', async () => {
  for (let sent = 0; sent < 50; sent++) {
    const response = await responseTo(`${head}\r\nhello`, 'close');
    assert.equal(response.unwrap().body.toString(), 'hello');
  }
});

const truncated: [string, string, ConnectionEnd][] = [
  ['without a length, reset', `${head}\r\nhello`, 'reset'],
  ['without a length, reset with its last bytes', `${head}\r\nhello`, 'resetAtOnce'],
  ['chunked, closed within a chunk', `${chunkedClose}5\r\nhel`, 'close'],
  ['chunked, reset within a chunk', `${chunkedClose}5\r\nhel`, 'reset'],
  ['chunked, closed before the last chunk', `${chunkedClose}5\r\nhello\r\n`, 'close'],
  ['chunked, reset before the last chunk', `${chunkedClose}5\r\nhello\r\n`, 'reset'],
  ['with a length, closed', `${head}Connection: close\r\nContent-Length: 10\r\n\r\nhel`, 'close'],
  ['with a length, reset', `${head}Connection: close\r\nContent-Length: 10\r\n\r\nhel`, 'reset'],
];

truncated.forEach(([name, bytes, end]) => {
  test(`a truncated response is reported as truncated: ${name}`, async () => {
    const sent = await responseTo(bytes, end);
    assert.equal(sent.unwrapErr().code, ResultCode.unknownAnswerTruncated);
  });
});

test('a response with the id of another request is dropped', async () => {
  const sent = await responseTo(
    'HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 2\r\n\r\nhi',
    'stay',
  );
  assert.equal(sent.unwrapErr().code, ResultCode.unknownConnectionLost);
});
