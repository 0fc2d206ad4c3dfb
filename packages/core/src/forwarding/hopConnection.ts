import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Endpoint } from '../calls/call.js';
import type { ByteBudget } from '../http/byteBudget.js';
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
/** Unsent bytes on a connection above which it accepts no more requests. */
const MAX_UNSENT_BYTES = 8 * 1024 * 1024;

/** Event handlers of a connection. */
export interface HopConnectionEvents {
  /** Data has arrived, or the connection was established. */
  received(): void;
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

  private readonly connectTimer: Timer;

  /** The remote end; undefined until its hello arrives. */
  private remote: HopPeer | undefined;

  /** When a request last used the connection, on the monotonic clock, in milliseconds. */
  lastUsedAt: number;

  /**
   * When data last arrived or the first request in flight was sent, on the monotonic clock, in
   * milliseconds.
   */
  lastReceivedAt: number;

  constructor(
    private readonly endpoint: Endpoint,
    private readonly local: HopPeer,
    private readonly clock: Clock,
    private readonly events: HopConnectionEvents,
    responseBytes: ByteBudget,
  ) {
    this.lastUsedAt = clock.now();
    this.lastReceivedAt = this.lastUsedAt;
    this.socket = connect({ host: endpoint.address, port: endpoint.port, noDelay: true });
    this.stream = new MessageStream(
      this.socket,
      (fields, body, share) => {
        share.close();
        this.handleMessage(fields, body);
      },
      responseBytes,
    );
    this.stream.write(encodeHello(local));
    this.connectTimer = clock.startTimer(CONNECT_TIMEOUT_MS, () => {
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
    if (this.pending.size === 0) this.lastReceivedAt = this.lastUsedAt;
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

  /** Asks the remote daemon for a sign of life. */
  ping(): void {
    if (this.isConnected) this.stream.write(['ping']);
  }

  /** Closes the connection because nothing has arrived on it for `idleMs` milliseconds. */
  closeSilent(idleMs: number): void {
    this.handleConnectionLost(`no data received for ${Math.round(idleMs)} ms`);
  }

  /** Closes the connection at once; requests in flight fail. */
  close(): void {
    this.handleConnectionLost('the connection was closed locally');
  }

  private handleConnect(): void {
    this.isConnected = true;
    this.connectTimer.cancel();
    this.recordReceived();
  }

  private recordReceived(): void {
    this.lastReceivedAt = this.clock.now();
    this.events.received();
  }

  private handleMessage(fields: unknown, body: Buffer | undefined): void {
    this.recordReceived();
    const message = decodeHopMessage(fields, this.local, this.remote);
    if (!message) this.handleConnectionLost('invalid message, or a different protocol version');
    if (message?.kind === 'hello') this.remote = message.peer;
    if (message?.kind !== 'answer') return;
    const pending = this.pending.get(message.id);
    this.pending.delete(message.id);
    if (!body) {
      const reason = 'the response was dropped: this daemon holds too many bytes of others';
      pending?.settle(Err(createFailure(ResultCode.unknownAnswerTooLarge, reason)));
      return;
    }
    pending?.settle(Ok({ ...message.response, response: { ...message.response.response, body } }));
  }

  private cancelRequest(id: number, code: ResultNumber, message: string): void {
    const pending = this.pending.get(id);
    if (!pending) return;
    this.pending.delete(id);
    this.stream.write(['cancel', id]);
    pending.settle(Err(createFailure(code, message)));
  }

  private handleConnectionLost(message: string): void {
    // Nothing has been sent while the connection is not established.
    const code = this.isConnected ? ResultCode.unknownConnectionLost : ResultCode.notRunConnect;
    this.closeWithFailure(code, message);
  }

  private closeWithFailure(code: ResultNumber, message: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.connectTimer.cancel();
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
