import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { Endpoint } from '@shallotcroft/core';

/** Passes bytes on between two ends until it loses track of them. */
export interface Relay {
  port: number;
  /** Makes the connections that are open now silent for good; new ones work. */
  forgetConnections(): void;
  /** Resets the connections that are open now. */
  resetConnections(): void;
  close(): Promise<void>;
}

interface RelayedPair {
  near: Socket;
  far: Socket;
}

function stopPassing({ near, far }: RelayedPair): void {
  near.unpipe(far);
  far.unpipe(near);
  // Bytes are still taken, as by a network that drops them.
  near.resume();
  far.resume();
}

/** Starts a relay on loopback in front of an endpoint. */
export async function startRelay(to: Endpoint): Promise<Relay> {
  const pairs = new Set<RelayedPair>();
  const server = createServer((near) => {
    const pair = { near, far: connect(to.port, to.address) };
    pairs.add(pair);
    const end = () => {
      pairs.delete(pair);
      pair.near.destroy();
      pair.far.destroy();
    };
    [pair.near, pair.far].forEach((socket) => {
      socket.on('error', end);
      socket.on('close', end);
    });
    near.pipe(pair.far);
    pair.far.pipe(near);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    forgetConnections: () => pairs.forEach(stopPassing),
    resetConnections: () => pairs.forEach(({ near }) => near.resetAndDestroy()),
    close: async () => {
      pairs.forEach(({ near }) => near.destroy());
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}
