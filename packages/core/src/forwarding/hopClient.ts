import type { Result } from 'ts-results-es';
import type { Endpoint } from '../calls/call.js';
import type { Clock } from '../runtime/clock.js';
import type { Failure } from '../runtime/failure.js';
import { HopConnection } from './hopConnection.js';
import type { HopResponse, HopPeer, HopRequest } from './hopMessages.js';

/** Connections to one daemon; several, since a lost packet holds up all that follow it on one. */
const MAX_CONNECTIONS = 6;
/** Time after which a connection without requests is closed, in milliseconds. */
const IDLE_MS = 8000;

/** Called while a daemon with requests under way is silent. */
export type UnresponsiveListener = (to: Endpoint, silentMs: number) => void;

/** Sends requests to other daemons. */
export class HopClient {
  private readonly connections = new Map<string, Set<HopConnection>>();

  constructor(
    private readonly own: HopPeer,
    private readonly clock: Clock,
    private readonly onSilence: UnresponsiveListener = () => undefined,
  ) {}

  /** The daemon's answer; `notRunConnect` when nothing was sent. */
  send(
    to: Endpoint,
    request: HopRequest,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<HopResponse, Failure>> {
    return this.connectionTo(to).send(request, timeoutMs, signal);
  }

  /** Closes connections that have not been used for long. */
  sweep(): void {
    const oldest = this.clock.now() - IDLE_MS;
    this.connections.forEach((open) => {
      open.forEach((connection) => {
        if (connection.size === 0 && connection.usedAt < oldest) connection.close();
      });
    });
  }

  /** Ends all connections. */
  close(): void {
    this.connections.forEach((open) => open.forEach((connection) => connection.close()));
  }

  private connectionTo(to: Endpoint): HopConnection {
    const name = `${to.address}:${to.port}`;
    let open = this.connections.get(name);
    if (!open) {
      open = new Set();
      this.connections.set(name, open);
    }
    let least: HopConnection | undefined;
    for (const connection of open) {
      if (!least || connection.size < least.size) least = connection;
      if (least.size === 0) return least;
    }
    if (least && open.size >= MAX_CONNECTIONS) return least;
    return this.connect(to, name, open);
  }

  private connect(to: Endpoint, name: string, open: Set<HopConnection>): HopConnection {
    const connection = new HopConnection(to, this.own, this.clock, {
      silent: (silentMs) => this.onSilence(to, silentMs),
      closed: (closed) => {
        open.delete(closed);
        if (open.size === 0 && this.connections.get(name) === open) this.connections.delete(name);
      },
    });
    open.add(connection);
    return connection;
  }
}
