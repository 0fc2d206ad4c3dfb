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
import { helloFields, readHopMessage, requestFields } from './hopMessages.js';
import type { HopResponse, HopPeer, HopRequest } from './hopMessages.js';
import { MessageStream } from './messageStream.js';

/** Longest wait for a new connection, in milliseconds; hosts of a region answer in a few. */
const CONNECT_TIMEOUT_MS = 300;
/** How often a connection with requests under way is tested, in milliseconds. */
const TEST_INTERVAL_MS = 150;
/** Silence after which the other end is asked for a sign of life, in milliseconds. */
const PING_AFTER_MS = 150;
/** Silence after which the other end is reported as silent: a ping was due to be answered. */
const SUSPECT_AFTER_MS = 400;
/** Silence after which a connection with requests under way is given up, in milliseconds. */
const MAX_SILENCE_MS = 1000;
/** Bytes that may wait on a connection before it takes no more requests. */
const MAX_UNSENT_BYTES = 8 * 1024 * 1024;

/** What a connection tells its owner. */
export interface HopConnectionEvents {
  /** Nothing has come for so many milliseconds although a sign of life was asked for. */
  silent(silentMs: number): void;
  closed(connection: HopConnection): void;
}

interface Pending {
  settle(result: Result<HopResponse, Failure>): void;
}

/** One connection to another daemon; it carries many requests at once. */
export class HopConnection {
  private readonly pending = new Map<number, Pending>();

  private readonly socket: Socket;

  private readonly stream: MessageStream;

  private isConnected = false;

  private isClosed = false;

  private lastId = 0;

  private heardAt = 0;

  private timer: Timer | undefined;

  /** What the other end said of itself. */
  private other: HopPeer | undefined;

  /** When a request last used the connection, on the monotonic clock, in milliseconds. */
  usedAt: number;

  constructor(
    private readonly to: Endpoint,
    private readonly own: HopPeer,
    private readonly clock: Clock,
    private readonly events: HopConnectionEvents,
  ) {
    this.usedAt = clock.now();
    this.socket = connect({ host: to.address, port: to.port, noDelay: true });
    this.stream = new MessageStream(this.socket, (fields, body) => this.take(fields, body));
    this.stream.write(helloFields(own));
    this.timer = clock.startTimer(CONNECT_TIMEOUT_MS, () => {
      this.fail(ResultCode.notRunConnect, `no connection within ${CONNECT_TIMEOUT_MS} ms`);
    });
    this.socket.once('connect', () => this.open());
    this.socket.on('error', (error) => this.lose(error.message));
    this.socket.on('close', () => this.lose('the connection was closed'));
  }

  /** Requests under way. */
  get size(): number {
    return this.pending.size;
  }

  /** Sends a request; every failure but `notRunConnect` leaves open whether it has run. */
  send(
    request: HopRequest,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<HopResponse, Failure>> {
    if (this.isClosed || this.stream.unsentBytes > MAX_UNSENT_BYTES) {
      const message = 'the connection takes no more requests';
      return Promise.resolve(Err(createFailure(ResultCode.notRunConnect, message)));
    }
    this.lastId += 1;
    const id = this.lastId;
    this.usedAt = this.clock.now();
    if (this.pending.size === 0 && this.isConnected) this.watch();
    return new Promise((resolve) => {
      const cancel = (): void => this.cancel(id, ResultCode.unknownCancelled, 'cancelled');
      const timer = this.clock.startTimer(timeoutMs, () => {
        this.cancel(id, ResultCode.unknownTimeout, `no answer within ${timeoutMs} ms`);
      });
      signal.addEventListener('abort', cancel, { once: true });
      this.pending.set(id, {
        settle: (result) => {
          timer.cancel();
          signal.removeEventListener('abort', cancel);
          resolve(result);
        },
      });
      this.stream.write(requestFields(id, request, this.own, this.other), request.body);
    });
  }

  /** Ends the connection at once. */
  close(): void {
    this.lose('the connection was given up');
  }

  private open(): void {
    this.isConnected = true;
    this.watch();
  }

  private take(fields: unknown, body: Buffer): void {
    this.heardAt = this.clock.now();
    const read = readHopMessage(fields, this.own, this.other);
    if (!read) this.lose('the other end speaks another form of messages');
    if (read?.kind === 'hello') this.other = read.end;
    if (read?.kind !== 'answer') return;
    const pending = this.pending.get(read.id);
    this.pending.delete(read.id);
    pending?.settle(Ok({ ...read.answer, response: { ...read.answer.response, body } }));
  }

  private cancel(id: number, code: ResultNumber, message: string): void {
    const pending = this.pending.get(id);
    if (!pending) return;
    this.pending.delete(id);
    this.stream.write(['cancel', id]);
    pending.settle(Err(createFailure(code, message)));
  }

  /** Tests the connection while requests are under way. */
  private watch(): void {
    this.timer?.cancel();
    this.heardAt = this.clock.now();
    this.timer = this.clock.startTimer(TEST_INTERVAL_MS, () => this.test());
  }

  private test(): void {
    if (this.pending.size === 0) return;
    const silentMs = this.clock.now() - this.heardAt;
    if (silentMs > MAX_SILENCE_MS) {
      this.lose(`the connection was silent for ${Math.round(silentMs)} ms`);
      return;
    }
    if (silentMs > SUSPECT_AFTER_MS) this.events.silent(silentMs);
    if (silentMs >= PING_AFTER_MS) this.stream.write(['ping']);
    this.timer = this.clock.startTimer(TEST_INTERVAL_MS, () => this.test());
  }

  private lose(message: string): void {
    // Before the connection stands no byte of a request has left.
    const code = this.isConnected ? ResultCode.unknownConnectionLost : ResultCode.notRunConnect;
    this.fail(code, message);
  }

  private fail(code: ResultNumber, message: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.timer?.cancel();
    this.socket.destroy();
    const failure = createFailure(code, `${this.to.address}:${this.to.port}: ${message}`);
    this.pending.forEach((pending) => pending.settle(Err(failure)));
    this.pending.clear();
    this.events.closed(this);
  }
}
