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

type AnswerEnd = 'close' | 'reset' | 'stay';

const RESET_DELAY_MS = 20;

function finish(socket: Socket, end: AnswerEnd): void {
  if (end === 'close') socket.end();
  // The bytes before the reset must have been read.
  else if (end === 'reset') setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
}

/** The outcome of a GET that is answered with these bytes. */
async function answerTo(bytes: string, end: AnswerEnd): Promise<Result<CallResponse, Failure>> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.write(bytes, () => finish(socket, end)));
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

test('an answer without a length is whole when its connection is closed cleanly', async () => {
  const sent = await answerTo(`${head}\r\nhello`, 'close');
  assert.equal(sent.unwrap().body.toString(), 'hello');
});

const cutOff: [string, string, AnswerEnd][] = [
  ['without a length, reset', `${head}\r\nhello`, 'reset'],
  ['in chunks, closed within one', `${chunkedClose}5\r\nhel`, 'close'],
  ['in chunks, reset within one', `${chunkedClose}5\r\nhel`, 'reset'],
  ['in chunks, closed before the last', `${chunkedClose}5\r\nhello\r\n`, 'close'],
  ['in chunks, reset before the last', `${chunkedClose}5\r\nhello\r\n`, 'reset'],
  ['with a length, closed', `${head}Connection: close\r\nContent-Length: 10\r\n\r\nhel`, 'close'],
  ['with a length, reset', `${head}Connection: close\r\nContent-Length: 10\r\n\r\nhel`, 'reset'],
];

cutOff.forEach(([name, bytes, end]) => {
  test(`an answer that is cut off is not whole: ${name}`, async () => {
    const sent = await answerTo(bytes, end);
    assert.equal(sent.unwrapErr().code, ResultCode.unknownAnswerTruncated);
  });
});

test('the answer to another request is dropped', async () => {
  const sent = await answerTo(
    'HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 2\r\n\r\nhi',
    'stay',
  );
  assert.equal(sent.unwrapErr().code, ResultCode.unknownConnectionLost);
});
