import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HttpCallTransport } from '../http/httpCallTransport.js';
import { systemClock } from '../runtime/clock.js';
import { RawServer } from './support/rawServer.js';
import type { RawRequest } from './support/rawServer.js';

function responseTo({ id }: RawRequest, status: string): string {
  return `HTTP/1.1 ${status}\r\nx-shallotcroft-request: ${id}\r\ncontent-length: 0\r\n\r\n`;
}

async function openTransport(handler: (request: RawRequest, index: number) => void) {
  const server = await RawServer.listen(handler);
  const transport = new HttpCallTransport({
    clock: systemClock,
    incarnation: 'test',
    requiresEcho: true,
  });
  const send = async (id: string): Promise<number> => {
    const sent = await transport.send(
      server.endpoint,
      '/',
      { call: 'books.read', id, headers: {}, body: Buffer.from('x') },
      { timeoutMs: 2000, maxResponseBytes: 1000, signal: new AbortController().signal },
    );
    return sent.unwrap().status;
  };
  const close = async (): Promise<void> => {
    await transport.close();
    await server.close();
  };
  return { server, send, close };
}

test('a refusal that is written once more does not answer the next attempt of the same request', async () => {
  let ran = 0;
  const { server, send, close } = await openTransport((request, index) => {
    if (index === 1) request.socket.write(responseTo(request, '503 Service Unavailable'));
    else {
      // The connection of the refused attempt carries the refusal again while this attempt runs.
      const [refused] = server.requests as [RawRequest];
      refused.socket.write(responseTo(refused, '503 Service Unavailable'));
      ran += 1;
      setTimeout(() => request.socket.write(responseTo(request, '200 OK')), 50);
    }
  });
  assert.equal(await send('a'), 503);
  assert.equal(await send('a'), 200);
  assert.equal(ran, 1);
  await close();
});

test('a connection that refused one request is used for others', async () => {
  const { server, send, close } = await openTransport((request) => {
    request.socket.write(responseTo(request, '503 Service Unavailable'));
  });
  for (const id of ['a', 'b', 'c', 'd']) assert.equal(await send(id), 503);
  assert.equal(server.connections, 1);
  await close();
});

test('what is remembered of refused requests is bounded', async () => {
  const { server, send, close } = await openTransport((request) => {
    request.socket.write(responseTo(request, '503 Service Unavailable'));
  });
  for (let index = 0; index < 300; index++) await send(`request-${index}`);
  assert.ok(server.connections > 1 && server.connections < 10, `${server.connections} connections`);
  await close();
});
