import assert from 'node:assert/strict';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { systemClock } from '../runtime/clock.js';
import { HopClient } from '../forwarding/hopClient.js';
import { encodeHello, encodeRequest } from '../forwarding/hopMessages.js';
import type { HopResponse } from '../forwarding/hopMessages.js';
import { HopServer } from '../forwarding/hopServer.js';
import type { HopHandler } from '../forwarding/hopServer.js';
import { MessageStream } from '../forwarding/messageStream.js';
import { silentLogger } from '../observability/logger.js';
import { ResultCode } from '../runtime/resultCode.js';
import { targetPeer, hopRequest, originPeer } from './support/hopSamples.js';

function responseWith(body: Buffer): HopResponse {
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

const neverAborted = new AbortController().signal;

/** Runs `work` with a hop server that calls `handler`. */
async function withServer(handler: HopHandler, work: (port: number) => Promise<void>) {
  const server = new HopServer(targetPeer, handler, silentLogger);
  try {
    await work(await server.listen('127.0.0.1', 0));
  } finally {
    server.close();
  }
}

/** Runs `work` with a TCP server that passes every accepted socket to `onSocket`. */
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

test('concurrent requests each receive their own complete response', async () => {
  const echo: HopHandler = async ({ body }) => {
    await systemClock.sleep(body.length % 7);
    return responseWith(body);
  };
  await withServer(echo, async (port) => {
    const client = new HopClient(originPeer, systemClock);
    const sizes = Array.from({ length: 60 }, (_none, index) => index * 4001);
    await Promise.all(
      sizes.map(async (size) => {
        const body = Buffer.alloc(size, size % 251);
        const sent = await client.send(
          { address: '127.0.0.1', port },
          { ...hopRequest, body },
          5000,
          neverAborted,
        );
        assert.deepEqual(sent.unwrap().response.body, body);
      }),
    );
    client.close();
  });
});

test('aborting a request cancels it at the remote daemon', async () => {
  let onCancelled: (() => void) | undefined;
  const cancellation = new Promise<void>((resolve) => {
    onCancelled = resolve;
  });
  const controller = new AbortController();
  const slow: HopHandler = (_request, signal) =>
    new Promise((resolve) => {
      signal.addEventListener('abort', () => {
        onCancelled?.();
        resolve(responseWith(Buffer.alloc(0)));
      });
      controller.abort();
    });
  await withServer(slow, async (port) => {
    const client = new HopClient(originPeer, systemClock);
    const sent = await client.send(
      { address: '127.0.0.1', port },
      hopRequest,
      5000,
      controller.signal,
    );
    assert.equal(sent.unwrapErr().code, ResultCode.unknownCancelled);
    await cancellation;
    client.close();
  });
});

test('a request whose cancellation arrives together with it is already cancelled when it starts', async () => {
  const states: boolean[] = [];
  let onHandled: () => void = () => undefined;
  const handled = new Promise<void>((resolve) => {
    onHandled = resolve;
  });
  const handler: HopHandler = async (_request, signal) => {
    states.push(signal.aborted);
    if (states.length === 2) onHandled();
    return responseWith(Buffer.alloc(0));
  };
  await withServer(handler, async (port) => {
    const socket = connect({ host: '127.0.0.1', port });
    const stream = new MessageStream(socket, () => undefined);
    socket.cork();
    stream.write(encodeHello(originPeer));
    stream.write(encodeRequest(1, hopRequest, originPeer, undefined), hopRequest.body);
    stream.write(encodeRequest(2, hopRequest, originPeer, undefined), hopRequest.body);
    stream.write(['cancel', 1]);
    socket.uncork();
    await handled;
    socket.destroy();
  });
  assert.deepEqual(states, [true, false]);
});

test('a request on a lost connection fails with an unknown outcome', async () => {
  await withListener(
    (socket) => socket.once('data', () => socket.destroy()),
    async (port) => {
      const client = new HopClient(originPeer, systemClock);
      const sent = await client.send(
        { address: '127.0.0.1', port },
        hopRequest,
        5000,
        neverAborted,
      );
      assert.equal(sent.unwrapErr().code, ResultCode.unknownConnectionLost);
    },
  );
});

test('a connection without data is closed long before the deadline', async () => {
  await withListener(
    (socket) => socket.resume(),
    async (port) => {
      const client = new HopClient(originPeer, systemClock);
      const sent = await client.send(
        { address: '127.0.0.1', port },
        hopRequest,
        60_000,
        neverAborted,
      );
      assert.match(sent.unwrapErr().message, /no data received for \d+ ms/);
      assert.equal(sent.unwrapErr().code, ResultCode.unknownConnectionLost);
    },
  );
});

test('a request to a port without a listener fails as not run', async () => {
  let unusedPort = 0;
  await withListener(
    () => undefined,
    async (port) => {
      unusedPort = port;
    },
  );
  const client = new HopClient(originPeer, systemClock);
  const sent = await client.send(
    { address: '127.0.0.1', port: unusedPort },
    hopRequest,
    5000,
    neverAborted,
  );
  assert.equal(sent.unwrapErr().code, ResultCode.notRunConnect);
});

test('a connection to a peer with a different protocol is closed', async () => {
  await withListener(
    (socket) => socket.write('HTTP/1.1 200 OK\r\n\r\n'),
    async (port) => {
      const client = new HopClient(originPeer, systemClock);
      const sent = await client.send(
        { address: '127.0.0.1', port },
        hopRequest,
        5000,
        neverAborted,
      );
      assert.equal(sent.unwrapErr().code, ResultCode.unknownConnectionLost);
    },
  );
});

test('an unresponsive daemon is reported before its connection is closed', async () => {
  await withListener(
    (socket) => socket.resume(),
    async (port) => {
      const reported: number[] = [];
      const client = new HopClient(originPeer, systemClock, (endpoint, idleMs) => {
        assert.equal(endpoint.port, port);
        reported.push(idleMs);
      });
      await client.send({ address: '127.0.0.1', port }, hopRequest, 60_000, neverAborted);
      // Reported after 400 ms without data; the connection is closed after 1000 ms.
      assert.ok((reported[0] ?? Infinity) < 1000);
    },
  );
});

test('a daemon that responds to pings during a slow request is not reported as unresponsive', async () => {
  const slow: HopHandler = async () => {
    await systemClock.sleep(900);
    return responseWith(Buffer.alloc(0));
  };
  await withServer(slow, async (port) => {
    const reported: number[] = [];
    const client = new HopClient(originPeer, systemClock, (_endpoint, idleMs) =>
      reported.push(idleMs),
    );
    const sent = await client.send({ address: '127.0.0.1', port }, hopRequest, 5000, neverAborted);
    assert.ok(sent.isOk());
    assert.deepEqual(reported, []);
    client.close();
  });
});
