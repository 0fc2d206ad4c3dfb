import type { Result } from 'ts-results-es';
import { CallTransport } from '../calls/call.js';
import type { CallResponse, CallRequest, Endpoint, SendBounds } from '../calls/call.js';
import { CallHeader } from '../calls/callHeaders.js';
import type { Clock } from '../runtime/clock.js';
import { EndpointConnections } from './endpointConnections.js';
import type { ConnectionBounds, ConnectionCounts } from './endpointConnections.js';
import type { Failure } from '../runtime/failure.js';
import { HttpExchange } from './httpExchange.js';
import type { ExchangeSettings } from './httpExchange.js';
import { ResultCode } from '../runtime/resultCode.js';

const SWEEP_INTERVAL_MS = 1000;

/** Settings of a transport. */
export interface HttpTransportSettings {
  clock: Clock;
  /** Unique id of this run of the process; makes request ids unique. */
  incarnation: string;
  /**
   * Longest silence while an answer is awaited, in milliseconds. Set it only towards servers that
   * send interim answers; the deadline is the only bound otherwise.
   */
  silenceMs?: number;
  /** Refuse answers that do not repeat the request id; targets need not, daemons do. */
  echoRequired?: boolean;
  /** Header that carries the id of a request and its echo; the call protocol's when absent. */
  idHeader?: string;
  /** Take answers without a length whose connection closes cleanly. */
  closeDelimited?: boolean;
  /** Bounds of the connections to each endpoint. */
  connections?: Partial<ConnectionBounds>;
}

/** Bounds that hold when the settings give no others. */
export const defaultConnectionBounds: ConnectionBounds = {
  connections: 256,
  waiting: 1024,
  connectTimeoutMs: 1000,
  idleMs: 4000,
};

/** Carries calls over HTTP/1.1, one call at a time on each connection. */
export class HttpCallTransport extends CallTransport {
  /** What was seen on connections since the start. */
  readonly counts: ConnectionCounts = {
    foreignAnswers: 0,
    silent: 0,
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

  private closed = false;

  constructor(settings: HttpTransportSettings) {
    super();
    this.clock = settings.clock;
    this.idPrefix = `${settings.incarnation}-`;
    this.bounds = { ...defaultConnectionBounds, ...settings.connections };
    this.sweptAt = this.clock.now();
    this.exchangeSettings = {
      clock: this.clock,
      silenceMs: settings.silenceMs,
      echoRequired: settings.echoRequired ?? false,
      idHeader: settings.idHeader ?? CallHeader.request,
      closeDelimited: settings.closeDelimited ?? false,
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
      else if (this.closed) exchange.fail(ResultCode.notRunConnect, 'it is closed', 'broken');
      else this.connectionsTo(to).start(path, exchange);
    });
  }

  async close(): Promise<void> {
    this.closed = true;
    this.endpoints.forEach((connections) => connections.close());
    this.endpoints.clear();
  }

  /** What made one connection silent, such as a restarted middlebox, has often met all others. */
  private readonly dropIdleSince = (time: number): void => {
    this.endpoints.forEach((connections) => connections.dropIdleSince(time));
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
        this.dropIdleSince,
      );
      this.endpoints.set(name, connections);
    }
    return connections;
  }

  /** Drops the connections to endpoints that are not used any more. */
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
