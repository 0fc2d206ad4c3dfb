import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { HopClient } from '../forwarding/hopClient.js';
import { decodeHopMessage, encodeHello } from '../forwarding/hopMessages.js';
import type { HopMessage } from '../forwarding/hopMessages.js';
import { MessageStream } from '../forwarding/messageStream.js';
import { ManualClock } from '../runtime/manualClock.js';
import { ResultCode } from '../runtime/resultCode.js';
import { hopRequest, originPeer, targetPeer } from './support/hopSamples.js';

const neverAborted = new AbortController().signal;

/** A peer that answers pings on the connections that `isAlive` selects, and no request. */
class PingedPeer {
  constructor(private readonly isAlive: (connection: number) => boolean) {}

  readonly received: HopMessage[] = [];

  readonly sockets: Socket[] = [];

  private readonly server = createServer((socket) => {
    const connection = this.sockets.push(socket) - 1;
    socket.on('error', () => undefined);
    const stream = new MessageStream(socket, (fields) => {
      const message = decodeHopMessage(fields, targetPeer, originPeer);
      if (message) this.received.push(message);
      if (message?.kind === 'ping' && this.isAlive(connection)) stream.write(['pong']);
    });
    stream.write(encodeHello(targetPeer));
  });

  async listen(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  close(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }

  count(kind: HopMessage['kind']): number {
    return this.received.filter((message) => message.kind === kind).length;
  }
}

/** Advances the clock in small steps; messages pass between the steps. */
async function advance(clock: ManualClock, ms: number): Promise<void> {
  for (let elapsed = 0; elapsed < ms; elapsed += 25) {
    await clock.advance(25);
    await new Promise((resolve) => {
      setTimeout(resolve, 2);
    });
  }
}

async function withPeer(
  isAlive: (connection: number) => boolean,
  work: (peer: PingedPeer, port: number) => Promise<void>,
): Promise<void> {
  const peer = new PingedPeer(isAlive);
  try {
    await work(peer, await peer.listen());
  } finally {
    peer.close();
  }
}

test('a request that takes 600 ms costs at most two pings, and one of 200 ms none', async () => {
  await withPeer(
    () => true,
    async (peer, port) => {
      const clock = new ManualClock();
      const client = new HopClient(originPeer, clock);
      const send = () =>
        client.send({ address: '127.0.0.1', port }, hopRequest, 5000, neverAborted);
      const pending = send();
      await advance(clock, 200);
      assert.equal(peer.count('ping'), 0);
      await advance(clock, 400);
      assert.ok(peer.count('ping') <= 2, `${peer.count('ping')} pings`);
      client.close();
      await pending;
    },
  );
});

test('six requests in flight share two connections, each with one ping in 400 ms', async () => {
  await withPeer(
    () => true,
    async (peer, port) => {
      const clock = new ManualClock();
      const client = new HopClient(originPeer, clock);
      const sent = Array.from({ length: 6 }, () =>
        client.send({ address: '127.0.0.1', port }, hopRequest, 5000, neverAborted),
      );
      await advance(clock, 400);
      assert.equal(peer.count('request'), 6);
      assert.equal(peer.sockets.length, 2);
      assert.ok(peer.count('ping') <= peer.sockets.length, `${peer.count('ping')} pings`);
      client.close();
      await Promise.all(sent);
    },
  );
});

test('a daemon without power is reported within 0.45 s also while new requests are sent to it', async () => {
  await withPeer(
    () => false,
    async (_peer, port) => {
      const clock = new ManualClock();
      const reports: number[] = [];
      const client = new HopClient(originPeer, clock, () => reports.push(clock.now()));
      const sent = [client.send({ address: '127.0.0.1', port }, hopRequest, 9000, neverAborted)];
      await advance(clock, 50);
      const silentSince = clock.now();
      for (let step = 0; step < 2; step++) {
        sent.push(client.send({ address: '127.0.0.1', port }, hopRequest, 9000, neverAborted));
        await advance(clock, 100);
      }
      await advance(clock, 250);
      assert.ok((reports[0] ?? Infinity) - silentSince <= 450, `reported at ${reports[0]}`);
      client.close();
      await Promise.all(sent);
    },
  );
});

test('a silent connection is closed within 1.2 s although the daemon answers on another', async () => {
  await withPeer(
    (connection) => connection !== 0,
    async (_peer, port) => {
      const clock = new ManualClock();
      const reports: number[] = [];
      const client = new HopClient(originPeer, clock, () => reports.push(clock.now()));
      const sent = Array.from({ length: 6 }, () =>
        client.send({ address: '127.0.0.1', port }, hopRequest, 9000, neverAborted),
      );
      await advance(clock, 1200);
      const first = await sent[0];
      assert.equal(first?.unwrapErr().code, ResultCode.unknownConnectionLost);
      assert.deepEqual(reports, []);
      client.close();
      await Promise.all(sent);
    },
  );
});
