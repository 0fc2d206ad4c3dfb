import { JSONRPCClient } from 'json-rpc-2.0';
import type { JSONRPCResponse } from 'json-rpc-2.0';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Agent } from 'undici';
import { readText } from '../http/readText.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import type { PeerAddress, PeerCaller } from './peer.js';
import { ResultCode } from '../runtime/resultCode.js';

const CONNECT_TIMEOUT_MS = 1000;
const IDLE_TIMEOUT_MS = 10_000;
/** Longest response to a control message. */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** Sends control messages as JSON-RPC over HTTP on persistent connections. */
export class RpcPeerCaller implements PeerCaller {
  private readonly agent = new Agent({
    connections: 2,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: IDLE_TIMEOUT_MS,
  });

  private lastId = 0;

  async call<T>(
    to: PeerAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<T, Failure>> {
    const client = this.clientFor(to, timeoutMs);
    try {
      return Ok((await client.request(method, params)) as T);
    } catch (error) {
      const message = `${method} at ${to.address}:${to.port} failed: ${(error as Error).message}`;
      return Err(createFailure(ResultCode.daemonUnreachable, message));
    }
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private clientFor(to: PeerAddress, timeoutMs: number): JSONRPCClient {
    const client: JSONRPCClient = new JSONRPCClient(
      async (message) => {
        // A timeout closes the connection, so an unresponsive connection is not used again.
        const response = await this.agent.request({
          origin: `http://${to.address}:${to.port}`,
          path: '/rpc',
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(message),
          signal: AbortSignal.timeout(timeoutMs),
        });
        const text = await readText(response.body, MAX_RESPONSE_BYTES);
        client.receive(JSON.parse(text) as JSONRPCResponse);
      },
      () => {
        this.lastId += 1;
        return this.lastId;
      },
    );
    return client;
  }
}
