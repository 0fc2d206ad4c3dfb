import type { Socket } from 'node:net';
import { Client, buildConnector } from 'undici';
import type { Endpoint } from '../calls/call.js';
import type { Clock } from '../runtime/clock.js';
import type { ConnectionFate, HttpExchange } from './httpExchange.js';
import { ResultCode } from '../runtime/resultCode.js';

/** Bounds of the connections to one endpoint. */
export interface ConnectionBounds {
  /** Most connections that are open at once. */
  connections: number;
  /** Most calls that wait for a connection. */
  waiting: number;
  /** Longest wait for a new connection, in milliseconds. */
  connectTimeoutMs: number;
  /** Longest time that a connection is kept without use, in milliseconds. */
  idleMs: number;
}

/** Connections that were given up, by reason. */
export interface ConnectionCounts {
  /** An answer to another request came; it was dropped. */
  foreignAnswers: number;
  /** Nothing came for longer than a daemon at work is silent. */
  silent: number;
  /** No whole answer came before the deadline. */
  timedOut: number;
  /** Lost, cancelled or at fault. */
  broken: number;
}

/** A connection, and whether its socket has failed. */
interface TrackedClient {
  client: Client;
  hasFailed: () => boolean;
}

/**
 * A client that tells whether its socket has failed: undici takes an answer that a reset cuts off
 * as whole when its length is not known.
 */
function createTrackedClient(to: Endpoint, bounds: ConnectionBounds): TrackedClient {
  const connector = buildConnector({ timeout: bounds.connectTimeoutMs });
  let failedSocket: Socket | undefined;
  let current: Socket | undefined;
  const client = new Client(`http://${to.address}:${to.port}`, {
    pipelining: 1,
    connect: (options, callback) => {
      connector(options, (error, socket) => {
        if (error) {
          callback(error, null);
          return;
        }
        current = socket;
        socket.prependListener('error', () => {
          failedSocket = socket;
        });
        callback(null, socket);
      });
    },
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: bounds.idleMs,
  });
  return { client, hasFailed: () => current !== undefined && current === failedSocket };
}

interface IdleConnection {
  connection: TrackedClient;
  since: number;
}

interface WaitingExchange {
  path: string;
  exchange: HttpExchange;
}

/** The connections to one endpoint; each carries one exchange at a time. */
export class EndpointConnections {
  // The last one used is the first one taken, so that the others grow old and are closed.
  private readonly idle: IdleConnection[] = [];

  private readonly waiting: WaitingExchange[] = [];

  private readonly open = new Set<TrackedClient>();

  private lastUsedAt: number;

  constructor(
    private readonly to: Endpoint,
    private readonly bounds: ConnectionBounds,
    private readonly clock: Clock,
    private readonly counts: ConnectionCounts,
    /** Called with the time since when a connection has been silent. */
    private readonly onSilence: (since: number) => void,
  ) {
    this.lastUsedAt = clock.now();
  }

  /** Starts an exchange on an idle connection, on a new one, or when one becomes free. */
  start(path: string, exchange: HttpExchange): void {
    this.lastUsedAt = this.clock.now();
    const connection = this.takeIdle() ?? this.connect();
    if (connection) {
      this.run(connection, path, exchange);
      return;
    }
    if (this.waiting.length < this.bounds.waiting) {
      this.waiting.push({ path, exchange });
      return;
    }
    const message = `all ${this.bounds.connections} connections are in use`;
    exchange.fail(ResultCode.notRunConnect, message, 'broken');
  }

  /** True when nothing was sent for so long that the connections are not needed. */
  isUnused(): boolean {
    const busy = this.open.size > this.idle.length;
    return !busy && this.clock.now() - this.lastUsedAt > this.bounds.idleMs;
  }

  /** Ends all connections at once. */
  close(): void {
    [...this.open].forEach((connection) => this.drop(connection));
    this.idle.length = 0;
  }

  /** Ends the connections that were last used before `time`, which may be silent too. */
  dropIdleSince(time: number): void {
    const old = this.idle.filter(({ since }) => since <= time);
    old.forEach((entry) => {
      this.idle.splice(this.idle.indexOf(entry), 1);
      this.drop(entry.connection);
    });
  }

  private run(connection: TrackedClient, path: string, exchange: HttpExchange): void {
    exchange.start(connection.client, connection.hasFailed, path, (fate) =>
      this.release(connection, exchange, fate),
    );
  }

  private release(connection: TrackedClient, exchange: HttpExchange, fate: ConnectionFate): void {
    if (fate === 'reusable') {
      if (this.open.has(connection)) this.idle.push({ connection, since: this.clock.now() });
    } else {
      this.count(fate);
      this.drop(connection);
    }
    const sentAt = exchange.sentAt ?? 0;
    if (fate === 'silent') this.onSilence(sentAt);
    else if (fate === 'timedOut') this.dropIdleSince(sentAt);
    this.startNext();
  }

  private count(fate: ConnectionFate): void {
    if (fate === 'foreignAnswer') this.counts.foreignAnswers += 1;
    else if (fate === 'silent') this.counts.silent += 1;
    else if (fate === 'timedOut') this.counts.timedOut += 1;
    else this.counts.broken += 1;
  }

  private startNext(): void {
    for (;;) {
      const next = this.waiting[0];
      if (!next) return;
      if (next.exchange.ended) {
        this.waiting.shift();
        continue;
      }
      const connection = this.takeIdle() ?? this.connect();
      if (!connection) return;
      this.waiting.shift();
      this.run(connection, next.path, next.exchange);
    }
  }

  private takeIdle(): TrackedClient | undefined {
    const oldest = this.clock.now() - this.bounds.idleMs;
    for (;;) {
      const entry = this.idle.pop();
      if (!entry || entry.since >= oldest) return entry?.connection;
      this.drop(entry.connection);
    }
  }

  private connect(): TrackedClient | undefined {
    if (this.open.size >= this.bounds.connections) return undefined;
    const connection = createTrackedClient(this.to, this.bounds);
    this.open.add(connection);
    return connection;
  }

  private drop(connection: TrackedClient): void {
    if (!this.open.delete(connection)) return;
    connection.client.destroy().catch(() => {});
  }
}
