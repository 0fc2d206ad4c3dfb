import assert from 'node:assert/strict';
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

test('a body that is too large is refused by number, and nothing is done', async () => {
  const answer = await post(() => assert.fail('nothing is to be done'), 'x'.repeat(11));
  assert.equal(answer.statusCode, 413);
  assert.equal(answer.headers[CallHeader.code], String(ResultCode.badBodyTooLarge));
});

test('a handler that fails does not look like a refusal', async () => {
  const answer = await post(() => Promise.reject(new Error('a fault')), 'x');
  assert.equal(answer.headers[CallHeader.code], String(ResultCode.internal));
});

test('an answer repeats the id of its own request, and no other', async () => {
  const handler: HttpHandler = async () => ({
    status: 200,
    headers: { [CallHeader.request]: 'of-a-hop-below' },
    body: Buffer.alloc(0),
  });
  const asked = await post(handler, 'x', { [CallHeader.request]: 'own' });
  assert.equal(asked.headers[CallHeader.request], 'own');
  const plain = await post(handler, 'x');
  assert.equal(plain.headers[CallHeader.request], undefined);
});
