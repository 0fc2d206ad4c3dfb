import type { Result } from 'ts-results-es';
import { CallTransport } from '../calls/call.js';
import type { CallResponse, CallRequest, Endpoint, SendBounds } from '../calls/call.js';
import { CallHeader } from '../calls/callHeaders.js';
import type { Clock } from '../runtime/clock.js';
import type { ByteBudget } from './byteBudget.js';
import { EndpointConnections } from './endpointConnections.js';
import type { ConnectionBounds, ConnectionCounts } from './endpointConnections.js';
import type { Failure } from '../runtime/failure.js';
import { createHeldBytes } from './heldBytes.js';
import { HttpExchange } from './httpExchange.js';
import type { ExchangeSettings } from './httpExchange.js';
import { ResultCode } from '../runtime/resultCode.js';

const SWEEP_INTERVAL_MS = 1000;
/** Options of `HttpCallTransport`. */
export interface HttpCallTransportOptions {
  clock: Clock;
  /** Unique id of this incarnation of the process; prefix of request ids. */
  incarnation: string;
  /**
   * Maximum time without data while waiting for a response, in milliseconds. Only for servers that
   * send interim responses; when absent, only the deadline limits the wait.
   */
  idleTimeoutMs?: number;
  /** Reject responses that do not echo the request id. Daemons echo it, targets need not. */
  requiresEcho?: boolean;
  /** Header of the request id and its echo; that of the call protocol when absent. */
  idHeader?: string;
  /** Accept responses without a length when their connection closes cleanly. */
  allowsCloseDelimited?: boolean;
  /** Bounds the bodies of responses that are held; a budget of its own when absent. */
  responseBytes?: ByteBudget;
  /** Limits of the connections to each endpoint. */
  connections?: Partial<ConnectionBounds>;
}

/** Default connection limits. */
export const defaultConnectionBounds: ConnectionBounds = {
  maxConnections: 256,
  maxQueued: 1024,
  connectTimeoutMs: 1000,
  maxIdleMs: 4000,
};

/** Sends calls over HTTP/1.1, one call at a time on each connection. */
export class HttpCallTransport extends CallTransport {
  /** Numbers of connections closed after failed exchanges since the start. */
  readonly counts: ConnectionCounts = {
    mismatchedResponses: 0,
    unresponsive: 0,
    timedOut: 0,
    broken: 0,
  };

  private readonly endpoints = new Map<string, EndpointConnections>();

  private readonly exchangeSettings: ExchangeSettings;

  private readonly bounds: ConnectionBounds;

  private readonly clock: Clock;

  private readonly idPrefix: string;

  private lastId = 0;

  private sweptAt: number;

  private isClosed = false;

  constructor(settings: HttpCallTransportOptions) {
    super();
    this.clock = settings.clock;
    this.idPrefix = `${settings.incarnation}-`;
    this.bounds = { ...defaultConnectionBounds, ...settings.connections };
    this.sweptAt = this.clock.now();
    this.exchangeSettings = {
      clock: this.clock,
      idleTimeoutMs: settings.idleTimeoutMs,
      requiresEcho: settings.requiresEcho ?? false,
      idHeader: settings.idHeader ?? CallHeader.request,
      allowsCloseDelimited: settings.allowsCloseDelimited ?? false,
      byteBudget: settings.responseBytes ?? createHeldBytes().responses,
    };
  }

  send(
    to: Endpoint,
    path: string,
    request: CallRequest,
    bounds: SendBounds,
  ): Promise<Result<CallResponse, Failure>> {
    return new Promise((resolve) => {
      this.lastId += 1;
      const id = request.id ?? this.idPrefix + this.lastId;
      const exchange = new HttpExchange(id, request, bounds, this.exchangeSettings, resolve);
      if (bounds.signal.aborted) exchange.cancel();
      else if (this.isClosed) exchange.fail(ResultCode.notRunConnect, 'transport closed', 'broken');
      else this.connectionsTo(to).start(path, exchange);
    });
  }

  async close(): Promise<void> {
    this.isClosed = true;
    this.endpoints.forEach((connections) => connections.close());
    this.endpoints.clear();
  }

  /**
   * Closes idle connections to all endpoints: what makes one connection unresponsive, such as a
   * restarted middlebox, often affects all others.
   */
  private readonly dropIdleConnections = (time: number): void => {
    this.endpoints.forEach((connections) => connections.dropIdleConnections(time));
  };

  private connectionsTo(to: Endpoint): EndpointConnections {
    this.sweep();
    const name = `${to.address}:${to.port}`;
    let connections = this.endpoints.get(name);
    if (!connections) {
      connections = new EndpointConnections(
        to,
        this.bounds,
        this.clock,
        this.counts,
        this.dropIdleConnections,
      );
      this.endpoints.set(name, connections);
    }
    return connections;
  }

  /** Closes the connections to endpoints that are no longer used. */
  private sweep(): void {
    const now = this.clock.now();
    if (now - this.sweptAt < SWEEP_INTERVAL_MS) return;
    this.sweptAt = now;
    this.endpoints.forEach((connections, name) => {
      if (!connections.isUnused()) return;
      connections.close();
      this.endpoints.delete(name);
    });
  }
}
