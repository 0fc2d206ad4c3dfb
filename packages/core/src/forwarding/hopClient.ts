import type { Result } from 'ts-results-es';
import type { Endpoint } from '../calls/call.js';
import type { Clock } from '../runtime/clock.js';
import type { Failure } from '../runtime/failure.js';
import { HopConnection } from './hopConnection.js';
import type { HopResponse, HopPeer, HopRequest } from './hopMessages.js';

/** Connections per daemon; several, because a lost packet delays all later data on its connection. */
const MAX_CONNECTIONS = 6;
/** Time after which an unused connection is closed, in milliseconds. */
const IDLE_TIMEOUT_MS = 8000;

/** Called repeatedly while a daemon with requests in flight is unresponsive. */
export type UnresponsiveListener = (endpoint: Endpoint, idleMs: number) => void;

/** Sends requests to other daemons over pooled connections. */
export class HopClient {
  /** Open connections by endpoint, `address:port`. */
  private readonly connections = new Map<string, Set<HopConnection>>();

  constructor(
    private readonly local: HopPeer,
    private readonly clock: Clock,
    private readonly onUnresponsive: UnresponsiveListener = () => undefined,
  ) {}

  /** Sends a request; fails with `notRunConnect` when nothing was sent. */
  send(
    endpoint: Endpoint,
    request: HopRequest,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<HopResponse, Failure>> {
    return this.connectionTo(endpoint).send(request, timeoutMs, signal);
  }

  /** Closes connections that have no request in flight and had none for the idle timeout. */
  closeIdleConnections(): void {
    const usedSince = this.clock.now() - IDLE_TIMEOUT_MS;
    this.connections.forEach((pool) => {
      pool.forEach((connection) => {
        if (connection.inFlight === 0 && connection.lastUsedAt < usedSince) connection.close();
      });
    });
  }

  /** Closes all connections. */
  close(): void {
    this.connections.forEach((pool) => pool.forEach((connection) => connection.close()));
  }

  private connectionTo(endpoint: Endpoint): HopConnection {
    const key = `${endpoint.address}:${endpoint.port}`;
    let pool = this.connections.get(key);
    if (!pool) {
      pool = new Set();
      this.connections.set(key, pool);
    }
    let leastLoaded: HopConnection | undefined;
    for (const connection of pool) {
      if (!leastLoaded || connection.inFlight < leastLoaded.inFlight) leastLoaded = connection;
      if (leastLoaded.inFlight === 0) return leastLoaded;
    }
    if (leastLoaded && pool.size >= MAX_CONNECTIONS) return leastLoaded;
    return this.connect(endpoint, key, pool);
  }

  private connect(endpoint: Endpoint, key: string, pool: Set<HopConnection>): HopConnection {
    const connection = new HopConnection(endpoint, this.local, this.clock, {
      unresponsive: (idleMs) => this.onUnresponsive(endpoint, idleMs),
      closed: (closed) => {
        pool.delete(closed);
        if (pool.size === 0 && this.connections.get(key) === pool) this.connections.delete(key);
      },
    });
    pool.add(connection);
    return connection;
  }
}
