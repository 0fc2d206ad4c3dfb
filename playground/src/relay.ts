import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { Endpoint } from '@shallotcroft/core';

/** A TCP relay with fault injection. */
export interface Relay {
  port: number;
  /** Discards all further bytes on the open connections without closing them; new ones work. */
  stallConnections(): void;
  /** Resets the open connections. */
  resetConnections(): void;
  close(): Promise<void>;
}

interface RelayedConnection {
  client: Socket;
  upstream: Socket;
}

function stallConnection({ client, upstream }: RelayedConnection): void {
  client.unpipe(upstream);
  upstream.unpipe(client);
  // Bytes are still read and discarded, as by a network that drops packets.
  client.resume();
  upstream.resume();
}

/** Starts a relay on loopback in front of an endpoint. */
export async function startRelay(to: Endpoint): Promise<Relay> {
  const connections = new Set<RelayedConnection>();
  const server = createServer((client) => {
    const connection = { client, upstream: connect(to.port, to.address) };
    connections.add(connection);
    const closeBoth = () => {
      connections.delete(connection);
      connection.client.destroy();
      connection.upstream.destroy();
    };
    [connection.client, connection.upstream].forEach((socket) => {
      socket.on('error', closeBoth);
      socket.on('close', closeBoth);
    });
    client.pipe(connection.upstream);
    connection.upstream.pipe(client);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    stallConnections: () => connections.forEach(stallConnection),
    resetConnections: () => connections.forEach(({ client }) => client.resetAndDestroy()),
    close: async () => {
      connections.forEach(({ client }) => client.destroy());
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}
