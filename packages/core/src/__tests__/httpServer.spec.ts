import assert from 'node:assert/strict';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { request } from 'undici';
import { CallHeader } from '../calls/callHeaders.js';
import { closeHttp, listenHttp } from '../http/httpServer.js';
import type { HttpHandler } from '../http/httpServer.js';
import { ResultCode } from '../runtime/resultCode.js';

const LIMIT_BYTES = 10;

async function post(handler: HttpHandler, body: string, headers: Record<string, string> = {}) {
  const { server, port } = await listenHttp('127.0.0.1', 0, LIMIT_BYTES, handler);
  const response = await request(`http://127.0.0.1:${port}/`, { method: 'POST', headers, body });
  await response.body.dump();
  await closeHttp(server);
  return response;
}

test('a body that is too large is rejected with its result code and does not reach the handler', async () => {
  const response = await post(() => assert.fail('the handler must not be called'), 'x'.repeat(11));
  assert.equal(response.statusCode, 413);
  assert.equal(response.headers[CallHeader.code], String(ResultCode.badBodyTooLarge));
});

// A handler may fail after it has executed the request; the code must not say "not run".
test('a handler that fails results in the code internal', async () => {
  const response = await post(() => Promise.reject(new Error('a fault')), 'x');
  assert.equal(response.headers[CallHeader.code], String(ResultCode.internal));
});

test('a response echoes the id of its request and does not forward another id', async () => {
  const handler: HttpHandler = async () => ({
    status: 200,
    headers: { [CallHeader.request]: 'of-a-child-call' },
    body: Buffer.alloc(0),
  });
  const withId = await post(handler, 'x', { [CallHeader.request]: 'own' });
  assert.equal(withId.headers[CallHeader.request], 'own');
  const withoutId = await post(handler, 'x');
  assert.equal(withoutId.headers[CallHeader.request], undefined);
});

/** Opens a connection and waits until it is established. */
function open(port: number): Promise<Socket> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1', () => resolve(socket));
  });
}

test('on a busy host requests whose clients have already left do not reach the handler', async () => {
  let handled = 0;
  const { server, port } = await listenHttp('127.0.0.1', 0, LIMIT_BYTES, async () => {
    handled += 1;
    return { status: 200, headers: {}, body: Buffer.alloc(0) };
  });
  const sockets = await Promise.all(Array.from({ length: 30 }, () => open(port)));
  // The server has accepted all connections and reads nothing until this turn ends.
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  sockets.forEach((socket) => {
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    socket.destroy();
  });
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  await closeHttp(server);
  assert.equal(handled, 0);
});
