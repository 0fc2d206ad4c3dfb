import type { Result } from 'ts-results-es';
import type { Endpoint } from '../calls/call.js';
import type { ByteBudget } from '../http/byteBudget.js';
import type { Clock, Timer } from '../runtime/clock.js';
import type { Failure } from '../runtime/failure.js';
import { HopConnection } from './hopConnection.js';
import type { HopPeer, HopRequest, HopResponse } from './hopMessages.js';

/** Connections per daemon; several, because a lost packet delays all later data on its connection. */
const MAX_CONNECTIONS = 6;
/** Requests in flight on each connection from which another connection is opened. */
const REQUESTS_PER_CONNECTION = 3;
/** Time after which an unused connection is closed, in milliseconds. */
const IDLE_TIMEOUT_MS = 8000;

/** Time without data from a daemon after which it is pinged, in milliseconds. */
const PEER_PING_IDLE_MS = 250;
/**
 * Time without data from a daemon after which it is reported as unresponsive, in milliseconds; the
 * pong is overdue by then.
 */
const UNRESPONSIVE_IDLE_MS = 400;
/** Interval of further checks of a silent daemon, in milliseconds. */
const SILENT_CHECK_INTERVAL_MS = 150;
/** Time without data on a connection after which it is pinged itself, in milliseconds. */
const CONNECTION_PING_IDLE_MS = 500;
/** Time without data on a connection after which it is closed, in milliseconds. */
const MAX_CONNECTION_IDLE_MS = 1000;

/** Called repeatedly while a daemon with requests in flight is unresponsive. */
export type UnresponsiveListener = (endpoint: Endpoint, idleMs: number) => void;

/** Options of `HopPool`. */
export interface HopPoolOptions {
  endpoint: Endpoint;
  local: HopPeer;
  clock: Clock;
  onUnresponsive: UnresponsiveListener;
  /** Bounds the bodies of responses that are held. */
  responseBytes: ByteBudget;
  /** Called when the last connection is closed. */
  onEmpty: () => void;
}

/**
 * Connections to one daemon. While requests are in flight, the daemon is known to be alive by data
 * on any of its connections; a connection that is silent on its own is found more slowly.
 */
export class HopPool {
  private readonly connections = new Set<HopConnection>();

  /** When the daemon was last known to be alive, or the first request in flight was sent. */
  private aliveAt = 0;

  private timer: Timer | undefined;

  constructor(private readonly options: HopPoolOptions) {}

  /** Sends a request; fails with `notRunConnect` when nothing was sent. */
  send(
    request: HopRequest,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<HopResponse, Failure>> {
    if (!this.timer) this.aliveAt = this.options.clock.now();
    const sent = this.chooseConnection().send(request, timeoutMs, signal);
    if (!this.timer) this.scheduleCheck();
    return sent;
  }

  /** Closes connections that have no request in flight and had none for the idle timeout. */
  closeIdleConnections(): void {
    const usedSince = this.options.clock.now() - IDLE_TIMEOUT_MS;
    this.connections.forEach((connection) => {
      if (connection.inFlight === 0 && connection.lastUsedAt < usedSince) connection.close();
    });
  }

  /** Closes all connections. */
  close(): void {
    this.connections.forEach((connection) => connection.close());
  }

  private chooseConnection(): HopConnection {
    let leastLoaded: HopConnection | undefined;
    this.connections.forEach((connection) => {
      if (!leastLoaded || connection.inFlight < leastLoaded.inFlight) leastLoaded = connection;
    });
    const isFree = leastLoaded !== undefined && leastLoaded.inFlight < REQUESTS_PER_CONNECTION;
    if (leastLoaded && (isFree || this.connections.size >= MAX_CONNECTIONS)) return leastLoaded;
    return this.connect();
  }

  private connect(): HopConnection {
    const { endpoint, local, clock, responseBytes, onEmpty } = this.options;
    const connection = new HopConnection(
      endpoint,
      local,
      clock,
      {
        received: () => {
          this.aliveAt = clock.now();
        },
        closed: (closed) => {
          this.connections.delete(closed);
          if (this.connections.size > 0) return;
          this.timer?.cancel();
          this.timer = undefined;
          onEmpty();
        },
      },
      responseBytes,
    );
    this.connections.add(connection);
    return connection;
  }

  /** Starts the timer of the next check that may find something. */
  private scheduleCheck(): void {
    const { clock } = this.options;
    const idleMs = clock.now() - this.aliveAt;
    let waitMs = SILENT_CHECK_INTERVAL_MS;
    if (idleMs < PEER_PING_IDLE_MS) waitMs = PEER_PING_IDLE_MS - idleMs;
    else if (idleMs < UNRESPONSIVE_IDLE_MS) waitMs = UNRESPONSIVE_IDLE_MS - idleMs;
    this.timer = clock.startTimer(waitMs, () => this.check());
  }

  private check(): void {
    this.timer = undefined;
    const busy = [...this.connections].filter(({ inFlight }) => inFlight > 0);
    if (busy.length === 0) return;
    const now = this.options.clock.now();
    const idleMs = now - this.aliveAt;
    if (idleMs >= UNRESPONSIVE_IDLE_MS) this.options.onUnresponsive(this.options.endpoint, idleMs);
    const isPingDue = idleMs >= PEER_PING_IDLE_MS;
    busy.forEach((connection) => {
      const connectionIdleMs = now - connection.lastReceivedAt;
      if (connectionIdleMs > MAX_CONNECTION_IDLE_MS) connection.closeSilent(connectionIdleMs);
      else if (isPingDue || connectionIdleMs >= CONNECTION_PING_IDLE_MS) connection.ping();
    });
    if (this.connections.size > 0) this.scheduleCheck();
  }
}
