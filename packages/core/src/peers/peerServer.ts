import type { Server } from 'node:http';
import { JSONRPCServer } from 'json-rpc-2.0';
import type { JSONRPCRequest } from 'json-rpc-2.0';
import { closeHttp, listenHttp } from '../http/httpServer.js';
import type { PeerMethod, PeerMethods } from './peer.js';

const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
const SERVER_IDLE_TIMEOUT_MS = 20_000;

/** Answers control messages of other daemons with JSON-RPC over HTTP. */
export class PeerServer implements PeerMethods {
  private readonly rpc = new JSONRPCServer();

  private server: Server | undefined;

  register(method: string, handler: PeerMethod): void {
    this.rpc.addMethod(method, handler);
  }

  /** Starts listening; resolves with the port, which differs from `port` when that is 0. */
  async listen(address: string, port: number): Promise<number> {
    const listening = await listenHttp(address, port, MAX_MESSAGE_BYTES, async (message) => {
      const parsed = JSON.parse(message.body.toString('utf8')) as JSONRPCRequest;
      const answer = await this.rpc.receive(parsed);
      return { status: 200, headers: {}, body: Buffer.from(JSON.stringify(answer ?? null)) };
    });
    listening.server.keepAliveTimeout = SERVER_IDLE_TIMEOUT_MS;
    this.server = listening.server;
    return listening.port;
  }

  /** Stops listening and ends idle connections; answers under way are finished. */
  async close(): Promise<void> {
    if (this.server) await closeHttp(this.server);
  }
}
