import type { Server } from 'node:http';
import { JSONRPCServer } from 'json-rpc-2.0';
import type { JSONRPCRequest } from 'json-rpc-2.0';
import { closeHttp, listenHttp } from '../http/httpServer.js';
import type { PeerMethod, PeerMethods } from './peer.js';

const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
const SERVER_IDLE_TIMEOUT_MS = 20_000;

/** Serves control messages of other daemons as JSON-RPC over HTTP. */
export class PeerServer implements PeerMethods {
  private readonly rpc = new JSONRPCServer();

  private server: Server | undefined;

  register(method: string, handler: PeerMethod): void {
    this.rpc.addMethod(method, handler);
  }

  /** Starts listening; resolves with the port, a free one when `port` is 0. */
  async listen(address: string, port: number): Promise<number> {
    const listening = await listenHttp(address, port, MAX_MESSAGE_BYTES, async (request) => {
      const parsed = JSON.parse(request.body.toString('utf8')) as JSONRPCRequest;
      const response = await this.rpc.receive(parsed);
      return { status: 200, headers: {}, body: Buffer.from(JSON.stringify(response ?? null)) };
    });
    listening.server.keepAliveTimeout = SERVER_IDLE_TIMEOUT_MS;
    this.server = listening.server;
    return listening.port;
  }

  /** Stops listening, closes idle connections and waits for requests in flight. */
  async close(): Promise<void> {
    if (this.server) await closeHttp(this.server);
  }
}
