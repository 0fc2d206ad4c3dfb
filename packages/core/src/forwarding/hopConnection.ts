import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Endpoint } from '../calls/call.js';
import type { Clock, Timer } from '../runtime/clock.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { ResultCode } from '../runtime/resultCode.js';
import type { ResultNumber } from '../runtime/resultCode.js';
import { encodeHello, decodeHopMessage, encodeRequest } from './hopMessages.js';
import type { HopResponse, HopPeer, HopRequest } from './hopMessages.js';
import { MessageStream } from './messageStream.js';

/** Connect timeout, in milliseconds; hosts of a region respond within a few milliseconds. */
const CONNECT_TIMEOUT_MS = 300;
/** Interval of liveness checks of a connection with requests in flight, in milliseconds. */
const LIVENESS_CHECK_INTERVAL_MS = 150;
/** Time without data after which a ping is sent, in milliseconds. */
const PING_IDLE_MS = 150;
/**
 * Time without data after which the remote daemon is reported as unresponsive, in milliseconds;
 * the pong to the first ping is overdue by then.
 */
const UNRESPONSIVE_IDLE_MS = 400;
/** Time without data after which a connection with requests in flight is closed, in milliseconds. */
const MAX_IDLE_MS = 1000;
/** Unsent bytes on a connection above which it accepts no more requests. */
const MAX_UNSENT_BYTES = 8 * 1024 * 1024;

/** Event handlers of a connection. */
export interface HopConnectionEvents {
  /** No data has arrived for `idleMs` milliseconds, although a ping was sent. */
  unresponsive(idleMs: number): void;
  /** The connection is closed and all its requests are settled. */
  closed(connection: HopConnection): void;
}

interface PendingRequest {
  settle(result: Result<HopResponse, Failure>): void;
}

/** A connection to another daemon; many requests can be in flight on it at once. */
export class HopConnection {
  private readonly pending = new Map<number, PendingRequest>();

  private readonly socket: Socket;

  private readonly stream: MessageStream;

  private isConnected = false;

  private isClosed = false;

  private lastId = 0;

  private lastReceivedAt = 0;

  private timer: Timer | undefined;

  /** The remote end; undefined until its hello arrives. */
  private remote: HopPeer | undefined;

  /** When a request last used the connection, on the monotonic clock, in milliseconds. */
  lastUsedAt: number;

  constructor(
    private readonly endpoint: Endpoint,
    private readonly local: HopPeer,
    private readonly clock: Clock,
    private readonly events: HopConnectionEvents,
  ) {
    this.lastUsedAt = clock.now();
    this.socket = connect({ host: endpoint.address, port: endpoint.port, noDelay: true });
    this.stream = new MessageStream(this.socket, (fields, body) =>
      this.handleMessage(fields, body),
    );
    this.stream.write(encodeHello(local));
    this.timer = clock.startTimer(CONNECT_TIMEOUT_MS, () => {
      this.closeWithFailure(
        ResultCode.notRunConnect,
        `no connection within ${CONNECT_TIMEOUT_MS} ms`,
      );
    });
    this.socket.once('connect', () => this.handleConnect());
    this.socket.on('error', (error) => this.handleConnectionLost(error.message));
    this.socket.on('close', () => this.handleConnectionLost('the connection was closed'));
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.pending.size;
  }

  /** Sends a request. After any failure but `notRunConnect` the request may have run. */
  send(
    request: HopRequest,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<HopResponse, Failure>> {
    if (this.isClosed || this.stream.unsentBytes > MAX_UNSENT_BYTES) {
      const message = 'the connection is closed or has too much unsent data';
      return Promise.resolve(Err(createFailure(ResultCode.notRunConnect, message)));
    }
    this.lastId += 1;
    const id = this.lastId;
    this.lastUsedAt = this.clock.now();
    if (this.pending.size === 0 && this.isConnected) this.startLivenessChecks();
    return new Promise((resolve) => {
      const onAbort = (): void =>
        this.cancelRequest(
          id,
          ResultCode.unknownCancelled,
          'the request was cancelled while waiting for the response',
        );
      const timer = this.clock.startTimer(timeoutMs, () => {
        this.cancelRequest(id, ResultCode.unknownTimeout, `no response within ${timeoutMs} ms`);
      });
      signal.addEventListener('abort', onAbort, { once: true });
      this.pending.set(id, {
        settle: (result) => {
          timer.cancel();
          signal.removeEventListener('abort', onAbort);
          resolve(result);
        },
      });
      this.stream.write(encodeRequest(id, request, this.local, this.remote), request.body);
    });
  }

  /** Closes the connection at once; requests in flight fail. */
  close(): void {
    this.handleConnectionLost('the connection was closed locally');
  }

  private handleConnect(): void {
    this.isConnected = true;
    this.startLivenessChecks();
  }

  private handleMessage(fields: unknown, body: Buffer): void {
    this.lastReceivedAt = this.clock.now();
    const message = decodeHopMessage(fields, this.local, this.remote);
    if (!message) this.handleConnectionLost('invalid message, or a different protocol version');
    if (message?.kind === 'hello') this.remote = message.peer;
    if (message?.kind !== 'answer') return;
    const pending = this.pending.get(message.id);
    this.pending.delete(message.id);
    pending?.settle(Ok({ ...message.response, response: { ...message.response.response, body } }));
  }

  private cancelRequest(id: number, code: ResultNumber, message: string): void {
    const pending = this.pending.get(id);
    if (!pending) return;
    this.pending.delete(id);
    this.stream.write(['cancel', id]);
    pending.settle(Err(createFailure(code, message)));
  }

  /** Checks the connection regularly while requests are in flight. */
  private startLivenessChecks(): void {
    this.timer?.cancel();
    this.lastReceivedAt = this.clock.now();
    this.timer = this.clock.startTimer(LIVENESS_CHECK_INTERVAL_MS, () => this.checkLiveness());
  }

  private checkLiveness(): void {
    if (this.pending.size === 0) return;
    const idleMs = this.clock.now() - this.lastReceivedAt;
    if (idleMs > MAX_IDLE_MS) {
      this.handleConnectionLost(`no data received for ${Math.round(idleMs)} ms`);
      return;
    }
    if (idleMs > UNRESPONSIVE_IDLE_MS) this.events.unresponsive(idleMs);
    if (idleMs >= PING_IDLE_MS) this.stream.write(['ping']);
    this.timer = this.clock.startTimer(LIVENESS_CHECK_INTERVAL_MS, () => this.checkLiveness());
  }

  private handleConnectionLost(message: string): void {
    // Nothing has been sent while the connection is not established.
    const code = this.isConnected ? ResultCode.unknownConnectionLost : ResultCode.notRunConnect;
    this.closeWithFailure(code, message);
  }

  private closeWithFailure(code: ResultNumber, message: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.timer?.cancel();
    this.socket.destroy();
    const failure = createFailure(
      code,
      `${this.endpoint.address}:${this.endpoint.port}: ${message}`,
    );
    this.pending.forEach((pending) => pending.settle(Err(failure)));
    this.pending.clear();
    this.events.closed(this);
  }
}
