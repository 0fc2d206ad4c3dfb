import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { systemClock } from '../runtime/clock.js';
import { HopClient } from '../forwarding/hopClient.js';
import type { HopResponse } from '../forwarding/hopMessages.js';
import { HopServer } from '../forwarding/hopServer.js';
import type { HopHandler } from '../forwarding/hopServer.js';
import { silentLogger } from '../observability/logger.js';
import { ResultCode } from '../runtime/resultCode.js';
import { guardEnd, hopRequest, originEnd } from './support/hopSamples.js';

function answerOf(body: Buffer): HopResponse {
  return {
    code: ResultCode.ok,
    reached: true,
    response: { status: 200, headers: {}, body },
    load: { inFlight: 1, waiting: 0, limit: 4, serviceMs: 10 },
    shedLevel: 0,
    configurationVersion: 1,
    incarnation: 'run',
    message: '',
  };
}

const never = new AbortController().signal;

async function withServer(handler: HopHandler, work: (port: number) => Promise<void>) {
  const server = new HopServer(guardEnd, handler, silentLogger);
  try {
    await work(await server.listen('127.0.0.1', 0));
  } finally {
    server.close();
  }
}

/** A listener that accepts connections and does with them what a test wants. */
async function withListener(
  onSocket: (socket: Socket) => void,
  work: (port: number) => Promise<void>,
) {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    onSocket(socket);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  try {
    await work((server.address() as AddressInfo).port);
  } finally {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  }
}

test('many requests at once each get their own whole answer', async () => {
  const echo: HopHandler = async ({ body }) => {
    await systemClock.sleep(body.length % 7);
    return answerOf(body);
  };
  await withServer(echo, async (port) => {
    const client = new HopClient(originEnd, systemClock);
    const sizes = Array.from({ length: 60 }, (_none, index) => index * 4001);
    await Promise.all(
      sizes.map(async (size) => {
        const body = Buffer.alloc(size, size % 251);
        const sent = await client.send(
          { address: '127.0.0.1', port },
          { ...hopRequest, body },
          5000,
          never,
        );
        assert.deepEqual(sent.unwrap().response.body, body);
      }),
    );
    client.close();
  });
});

test('a caller that has gone cancels the work at the other daemon', async () => {
  let cancelled: (() => void) | undefined;
  const done = new Promise<void>((resolve) => {
    cancelled = resolve;
  });
  const gone = new AbortController();
  const slow: HopHandler = (_request, signal) =>
    new Promise((resolve) => {
      signal.addEventListener('abort', () => {
        cancelled?.();
        resolve(answerOf(Buffer.alloc(0)));
      });
      gone.abort();
    });
  await withServer(slow, async (port) => {
    const client = new HopClient(originEnd, systemClock);
    const sent = await client.send({ address: '127.0.0.1', port }, hopRequest, 5000, gone.signal);
    assert.equal(sent.unwrapErr().code, ResultCode.unknownCancelled);
    await done;
    client.close();
  });
});

test('a connection that is lost leaves the outcome open and cancels what ran', async () => {
  await withListener(
    (socket) => socket.once('data', () => socket.destroy()),
    async (port) => {
      const client = new HopClient(originEnd, systemClock);
      const sent = await client.send({ address: '127.0.0.1', port }, hopRequest, 5000, never);
      assert.equal(sent.unwrapErr().code, ResultCode.unknownConnectionLost);
    },
  );
});

test('a connection that falls silent is given up long before the deadline', async () => {
  await withListener(
    (socket) => socket.resume(),
    async (port) => {
      const client = new HopClient(originEnd, systemClock);
      const sent = await client.send({ address: '127.0.0.1', port }, hopRequest, 60_000, never);
      assert.match(sent.unwrapErr().message, /silent/);
      assert.equal(sent.unwrapErr().code, ResultCode.unknownConnectionLost);
    },
  );
});

test('where nobody listens nothing was sent', async () => {
  let free = 0;
  await withListener(
    () => undefined,
    async (port) => {
      free = port;
    },
  );
  const client = new HopClient(originEnd, systemClock);
  const sent = await client.send({ address: '127.0.0.1', port: free }, hopRequest, 5000, never);
  assert.equal(sent.unwrapErr().code, ResultCode.notRunConnect);
});

test('an end that speaks something else is cut off', async () => {
  await withListener(
    (socket) => socket.write('HTTP/1.1 200 OK\r\n\r\n'),
    async (port) => {
      const client = new HopClient(originEnd, systemClock);
      const sent = await client.send({ address: '127.0.0.1', port }, hopRequest, 5000, never);
      assert.equal(sent.unwrapErr().code, ResultCode.unknownConnectionLost);
    },
  );
});

test('a silent daemon is reported long before its connection is given up', async () => {
  await withListener(
    (socket) => socket.resume(),
    async (port) => {
      const reported: number[] = [];
      const client = new HopClient(originEnd, systemClock, (to, silentMs) => {
        assert.equal(to.port, port);
        reported.push(silentMs);
      });
      await client.send({ address: '127.0.0.1', port }, hopRequest, 60_000, never);
      // Given up after 1000 ms of silence, reported from 400 ms on.
      assert.ok((reported[0] ?? Infinity) < 1000);
    },
  );
});

test('a daemon that takes long over a request is not silent', async () => {
  const slow: HopHandler = async () => {
    await systemClock.sleep(900);
    return answerOf(Buffer.alloc(0));
  };
  await withServer(slow, async (port) => {
    const reported: number[] = [];
    const client = new HopClient(originEnd, systemClock, (_to, silentMs) =>
      reported.push(silentMs),
    );
    const sent = await client.send({ address: '127.0.0.1', port }, hopRequest, 5000, never);
    assert.ok(sent.isOk());
    assert.deepEqual(reported, []);
    client.close();
  });
});
