import type { Socket } from 'node:net';
import { Client, buildConnector } from 'undici';
import type { Endpoint } from '../calls/call.js';
import type { Clock } from '../runtime/clock.js';
import type { ConnectionState, ExchangeConnection, HttpExchange } from './httpExchange.js';
import { ResultCode } from '../runtime/resultCode.js';

/** Limits of the connections to one endpoint. */
export interface ConnectionBounds {
  /** Maximum number of open connections. */
  maxConnections: number;
  /** Maximum number of calls that wait for a connection. */
  maxQueued: number;
  /** Timeout of establishing a connection, in milliseconds. */
  connectTimeoutMs: number;
  /** Time after which an idle connection is closed, in milliseconds. */
  maxIdleMs: number;
}

/** Numbers of connections that were closed after a failed exchange, by reason. */
export interface ConnectionCounts {
  /** A response to another request arrived; it was discarded. */
  mismatchedResponses: number;
  /** No data arrived within the idle timeout. */
  unresponsive: number;
  /** No complete response arrived before the deadline. */
  timedOut: number;
  /** The connection was lost, the call was cancelled, or the response was invalid. */
  broken: number;
}

/** Largest number of ids that are kept for a connection; it is then replaced by a new one. */
const MAX_ERROR_IDS = 100;

/** Connection with what its socket shows besides the responses. */
interface TrackedClient extends ExchangeConnection {
  client: Client;
  /** Sets the exchange in flight. */
  setExchange: (exchange: HttpExchange | undefined) => void;
  /** Ids of the requests that received an error on this connection. */
  errorIds: Set<string>;
}

/**
 * Creates a client that tracks whether its socket has failed: undici reports a response of unknown
 * length as complete when a connection reset truncates it. If the reset has arrived when the last
 * bytes are read, Node.js reports the end of the data without an error, but the socket then has no
 * remote address: only a connection that the peer has closed cleanly still has one at its end.
 */
function createTrackedClient(to: Endpoint, bounds: ConnectionBounds): TrackedClient {
  const connector = buildConnector({ timeout: bounds.connectTimeoutMs });
  let failedSocket: Socket | undefined;
  let currentSocket: Socket | undefined;
  let currentExchange: HttpExchange | undefined;

  function track(socket: Socket): void {
    currentSocket = socket;
    const recordFailure = (): void => {
      failedSocket = socket;
    };
    socket.prependListener('error', recordFailure);
    // Runs before Node.js closes its own side, after which there is no remote address either.
    socket.prependListener('end', () => {
      if (socket.remoteAddress === undefined) recordFailure();
    });
    socket.on('readable', () => currentExchange?.checkFraming(socket.bytesRead));
  }

  return {
    client: new Client(`http://${to.address}:${to.port}`, {
      pipelining: 1,
      connect: (options, callback) => {
        connector(options, (error, socket) => {
          if (error) {
            callback(error, null);
            return;
          }
          track(socket);
          callback(null, socket);
        });
      },
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: bounds.maxIdleMs,
    }),
    setExchange: (exchange) => {
      currentExchange = exchange;
    },
    hasFailed: () => currentSocket !== undefined && currentSocket === failedSocket,
    receivedBytes: () => (currentSocket?.destroyed === false ? currentSocket.bytesRead : 0),
    errorIds: new Set(),
  };
}

interface IdleConnection {
  connection: TrackedClient;
  /** Time at which the connection became idle, in milliseconds. */
  since: number;
}

interface QueuedExchange {
  path: string;
  exchange: HttpExchange;
}

/** Connection pool of one endpoint; each connection carries one exchange at a time. */
export class EndpointConnections {
  // Taken last in, first out, so that surplus connections reach the idle limit and are closed.
  private readonly idle: IdleConnection[] = [];

  private readonly queued: QueuedExchange[] = [];

  private readonly open = new Set<TrackedClient>();

  private lastUsedAt: number;

  constructor(
    private readonly to: Endpoint,
    private readonly bounds: ConnectionBounds,
    private readonly clock: Clock,
    private readonly counts: ConnectionCounts,
    /** Called with the send time of the request whose connection became unresponsive. */
    private readonly onUnresponsive: (since: number) => void,
  ) {
    this.lastUsedAt = clock.now();
  }

  /** Starts an exchange on an idle or new connection; queues it while none is available. */
  start(path: string, exchange: HttpExchange): void {
    this.lastUsedAt = this.clock.now();
    const connection = this.takeConnection(exchange.id);
    if (connection) {
      this.run(connection, path, exchange);
      return;
    }
    if (this.queued.length < this.bounds.maxQueued) {
      this.queued.push({ path, exchange });
      return;
    }
    const message = `all ${this.bounds.maxConnections} connections are in use and the queue is full`;
    exchange.fail(ResultCode.notRunConnect, message, 'broken');
  }

  /** Whether no exchange is in flight and none was started within the idle limit. */
  isUnused(): boolean {
    const isBusy = this.open.size > this.idle.length;
    return !isBusy && this.clock.now() - this.lastUsedAt > this.bounds.maxIdleMs;
  }

  /** Closes all connections immediately. */
  close(): void {
    [...this.open].forEach((connection) => this.drop(connection));
    this.idle.length = 0;
  }

  /** Closes idle connections last used at or before `usedBefore`: they may be unresponsive too. */
  dropIdleConnections(usedBefore: number): void {
    const staleEntries = this.idle.filter(({ since }) => since <= usedBefore);
    staleEntries.forEach((entry) => {
      this.idle.splice(this.idle.indexOf(entry), 1);
      this.drop(entry.connection);
    });
  }

  private run(connection: TrackedClient, path: string, exchange: HttpExchange): void {
    connection.setExchange(exchange);
    exchange.start(connection, path, (state) => this.release(connection, exchange, state));
  }

  private release(connection: TrackedClient, exchange: HttpExchange, state: ConnectionState): void {
    connection.setExchange(undefined);
    if (exchange.hasErrorStatus) connection.errorIds.add(exchange.id);
    if (state === 'reusable' && connection.errorIds.size <= MAX_ERROR_IDS) {
      if (this.open.has(connection)) this.idle.push({ connection, since: this.clock.now() });
    } else {
      if (state !== 'reusable') this.count(state);
      this.drop(connection);
    }
    const sentAt = exchange.sentAt ?? 0;
    if (state === 'unresponsive') this.onUnresponsive(sentAt);
    else if (state === 'timedOut') this.dropIdleConnections(sentAt);
    this.startNext();
  }

  private count(state: Exclude<ConnectionState, 'reusable'>): void {
    if (state === 'mismatchedResponse') this.counts.mismatchedResponses += 1;
    else if (state === 'unresponsive') this.counts.unresponsive += 1;
    else if (state === 'timedOut') this.counts.timedOut += 1;
    else this.counts.broken += 1;
  }

  private startNext(): void {
    for (;;) {
      const next = this.queued[0];
      if (!next) return;
      if (next.exchange.hasEnded) {
        this.queued.shift();
        continue;
      }
      const connection = this.takeConnection(next.exchange.id);
      if (!connection) return;
      this.queued.shift();
      this.run(connection, next.path, next.exchange);
    }
  }

  /** An idle or new connection for the request `id`; undefined if all connections are in use. */
  private takeConnection(id: string): TrackedClient | undefined {
    const idle = this.takeIdle(id);
    if (idle) return idle;
    if (this.open.size >= this.bounds.maxConnections) {
      const unsuitable = this.idle.shift();
      if (unsuitable) this.drop(unsuitable.connection);
    }
    return this.connect();
  }

  /**
   * Takes a connection on which the request `id` has not failed before: a target may write that response
   * once more, and its id would match the new attempt.
   */
  private takeIdle(id: string): TrackedClient | undefined {
    const usedSince = this.clock.now() - this.bounds.maxIdleMs;
    for (let index = this.idle.length - 1; index >= 0; index--) {
      const { connection, since } = this.idle[index] as IdleConnection;
      const isExpired = since < usedSince;
      if (isExpired) this.drop(connection);
      if (isExpired || !connection.errorIds.has(id)) this.idle.splice(index, 1);
      if (!isExpired && !connection.errorIds.has(id)) return connection;
    }
    return undefined;
  }

  private connect(): TrackedClient | undefined {
    if (this.open.size >= this.bounds.maxConnections) return undefined;
    const connection = createTrackedClient(this.to, this.bounds);
    this.open.add(connection);
    return connection;
  }

  private drop(connection: TrackedClient): void {
    if (!this.open.delete(connection)) return;
    connection.client.destroy().catch(() => {});
  }
}
