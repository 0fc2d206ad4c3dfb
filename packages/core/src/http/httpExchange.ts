import type { IncomingHttpHeaders } from 'node:http';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Dispatcher } from 'undici';
import type { CallResponse, CallRequest, SendBounds } from '../calls/call.js';
import { ByteCollector } from '../runtime/byteCollector.js';
import type { Clock, Timer } from '../runtime/clock.js';
import type { ByteBudget } from './byteBudget.js';
import type { ByteShare } from './byteShare.js';
import { endToEndHeaders } from './endToEndHeaders.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { ResultCode } from '../runtime/resultCode.js';
import type { ResultNumber } from '../runtime/resultCode.js';

// Data that has already arrived is read before a connection counts as unresponsive.
const IDLE_GRACE_MS = 20;
/**
 * Bytes of a response that are not its body, in addition to a share of the body: the head, interim
 * responses and what has been received and not yet been parsed.
 */
const MAX_FRAMING_BYTES = 256 * 1024;
/** Bytes of framing for each byte of the body; a chunk of one byte takes five. */
const MAX_FRAMING_BYTES_PER_BYTE = 7;
const FIRST_FINAL_STATUS = 200;
const FIRST_ERROR_STATUS = 400;
const statusesWithoutBody = new Set([204, 304]);
/** Spares the HTTP library to derive a TLS server name from the host of each request. */
const plainConnection = { servername: 'plain' };

/** Settings shared by the exchanges of one transport. */
export interface ExchangeSettings {
  clock: Clock;
  /** Milliseconds without data after which the connection is unresponsive; undefined: unlimited. */
  idleTimeoutMs: number | undefined;
  /** Whether every response must echo the id of its request. */
  requiresEcho: boolean;
  /** Header of the request id and its echo, in lower case. */
  idHeader: string;
  /** Whether a response without a length may be delimited by a clean close of its connection. */
  allowsCloseDelimited: boolean;
  /** Bounds the bytes that all exchanges hold together. */
  byteBudget: ByteBudget;
}

/** Connection of an exchange. */
export interface ExchangeConnection {
  readonly client: Dispatcher;
  /** True if the connection was lost other than by a clean close. */
  hasFailed(): boolean;
  /** Bytes received on the connection so far. */
  receivedBytes(): number;
}

/** State of a connection after an exchange. */
export type ConnectionState =
  'reusable' | 'broken' | 'timedOut' | 'unresponsive' | 'mismatchedResponse';

/** One request and its response on one connection. */
export class HttpExchange implements Dispatcher.DispatchHandler {
  /** Time at which the request was written, in milliseconds; undefined while no byte was sent. */
  sentAt: number | undefined;

  /** True once the exchange has its result. */
  hasEnded = false;

  private onEnd: ((state: ConnectionState) => void) | undefined;

  private readonly deadlineAt: number;

  private readonly idleTimeoutMs: number | undefined;

  private lastReceivedAt = 0;

  /** True once the idle timeout has passed; the exchange fails after `IDLE_GRACE_MS` more. */
  private isIdleSuspected = false;

  private status = 0;

  private headers: CallResponse['headers'] = {};

  private expectedBytes: number | undefined;

  private isCloseDelimited = false;

  private connection: ExchangeConnection | undefined;

  /** Bytes that the connection had received before the exchange. */
  private earlierBytes = 0;

  private readonly byteShare: ByteShare;

  private body = new ByteCollector();

  private timer: Timer;

  /** Ends the exchange because the call was cancelled. */
  readonly cancel = (): void => {
    if (this.sentAt === undefined) {
      this.fail(ResultCode.notRunCancelled, 'the call was cancelled before it was sent', 'broken');
    } else {
      this.fail(
        ResultCode.unknownCancelled,
        'the call was cancelled while waiting for the response',
        'broken',
      );
    }
  };

  constructor(
    /** Id of the request, which its response must echo. */
    readonly id: string,
    private readonly request: CallRequest,
    private readonly bounds: SendBounds,
    private readonly settings: ExchangeSettings,
    private readonly resolve: (result: Result<CallResponse, Failure>) => void,
  ) {
    const { clock } = settings;
    this.byteShare = settings.byteBudget.openShare();
    this.deadlineAt = clock.now() + bounds.timeoutMs;
    this.idleTimeoutMs = bounds.idleTimeoutMs ?? settings.idleTimeoutMs;
    const firstCheckMs = Math.min(bounds.timeoutMs, this.idleTimeoutMs ?? Infinity);
    this.timer = clock.startTimer(firstCheckMs, () => this.onTimer());
    bounds.signal.addEventListener('abort', this.cancel, { once: true });
  }

  /** True if the response has a status of an error; the request may then be sent again. */
  get hasErrorStatus(): boolean {
    return this.status >= FIRST_ERROR_STATUS;
  }

  /** Sends the request on `connection`; `onEnd` is called once, after the exchange has ended. */
  start(
    connection: ExchangeConnection,
    path: string,
    onEnd: (state: ConnectionState) => void,
  ): void {
    this.onEnd = onEnd;
    this.connection = connection;
    this.earlierBytes = connection.receivedBytes();
    const { method = 'POST', body } = this.request;
    const headers = { ...this.request.headers, [this.settings.idHeader]: this.id };
    connection.client.dispatch(
      {
        method,
        path,
        headers,
        body: body.length > 0 ? body : null,
        ...plainConnection,
      },
      this,
    );
  }

  /**
   * Ends the exchange if the response takes far more bytes than its body has. The HTTP library
   * counts neither spaces nor interim responses, and such a response may have no end.
   */
  checkFraming(connectionBytes: number): void {
    if (this.hasEnded) return;
    const framingBytes = connectionBytes - this.earlierBytes - this.body.length;
    const limitBytes = MAX_FRAMING_BYTES + MAX_FRAMING_BYTES_PER_BYTE * this.body.length;
    if (framingBytes <= limitBytes) return;
    const message = `${framingBytes} bytes were received besides ${this.body.length} of the body`;
    if (this.status === 0) this.fail(ResultCode.unknownConnectionLost, message, 'broken');
    else this.failTruncated(message);
  }

  /** Ends the exchange with a failure; does nothing when it has already ended. */
  fail(code: ResultNumber, message: string, state: ConnectionState): void {
    if (this.hasEnded) return;
    this.end(Err(createFailure(code, message)), state);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    // Prevents the HTTP library from sending a request twice.
    if (this.hasEnded || this.sentAt !== undefined) {
      controller.abort(new Error('the call has ended'));
      return;
    }
    this.sentAt = this.settings.clock.now();
    this.lastReceivedAt = this.sentAt;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    this.recordReceived();
    if (this.hasEnded || status < FIRST_FINAL_STATUS) return;
    if (!this.matchesRequestId(headers[this.settings.idHeader])) {
      const message = 'the response does not echo the id of its request; it was discarded';
      this.fail(ResultCode.unknownConnectionLost, message, 'mismatchedResponse');
      return;
    }
    this.status = status;
    this.checkLength(headers);
    this.headers = endToEndHeaders(headers);
  }

  onResponseData(_controller: Dispatcher.DispatchController, piece: Buffer): void {
    this.recordReceived();
    if (this.hasEnded) return;
    const receivedBytes = this.body.length + piece.length;
    if (receivedBytes > this.bounds.maxResponseBytes) this.failTooLarge();
    else if (!this.byteShare.add(piece.length)) this.failOverBudget(receivedBytes);
    else this.body.append(piece);
  }

  onResponseEnd(): void {
    if (this.hasEnded) return;
    if (this.connection?.hasFailed()) {
      this.failTruncated('the connection was reset before the response was complete');
      return;
    }
    if (this.expectedBytes !== undefined && this.expectedBytes !== this.body.length) {
      this.failTruncated(`received ${this.body.length} of ${this.expectedBytes} bytes`);
      return;
    }
    const body = this.body.take();
    const response: CallResponse = { status: this.status, headers: this.headers, body };
    if (!this.isCloseDelimited) this.end(Ok(response), 'reusable');
    else this.end(Ok({ ...response, endsWithConnection: true }), 'broken');
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.sentAt === undefined) {
      this.fail(
        ResultCode.notRunConnect,
        `the request could not be sent: ${error.message}`,
        'broken',
      );
    } else if (this.status !== 0) {
      this.failTruncated(error.message);
    } else {
      const message = `the connection was lost before the response: ${error.message}`;
      this.fail(ResultCode.unknownConnectionLost, message, 'broken');
    }
  }

  private end(result: Result<CallResponse, Failure>, state: ConnectionState): void {
    this.hasEnded = true;
    this.timer.cancel();
    this.bounds.signal.removeEventListener('abort', this.cancel);
    this.body.clear();
    this.byteShare.close();
    this.resolve(result);
    this.onEnd?.(state);
  }

  private matchesRequestId(echo: string | string[] | undefined): boolean {
    if (echo === undefined) return !this.settings.requiresEcho;
    return echo === this.id;
  }

  /**
   * Reads the expected length. A response delimited by the close of its connection fails unless the
   * settings allow it, since its completeness cannot be verified.
   */
  private checkLength(headers: IncomingHttpHeaders): void {
    if (this.request.method === 'HEAD') return;
    const length = headers['content-length'];
    if (length !== undefined) {
      this.expectedBytes = Number(length);
      if (this.expectedBytes > this.bounds.maxResponseBytes) this.failTooLarge();
      else this.body = new ByteCollector(this.expectedBytes);
      return;
    }
    const isChunked = headers['transfer-encoding'] === 'chunked';
    if (isChunked || statusesWithoutBody.has(this.status)) return;
    this.isCloseDelimited = this.settings.allowsCloseDelimited;
    if (this.isCloseDelimited) return;
    this.failTruncated('it has neither a content length nor chunked encoding');
  }

  private failTooLarge(): void {
    const message = `the response is larger than ${this.bounds.maxResponseBytes} bytes`;
    this.fail(ResultCode.unknownAnswerTooLarge, message, 'broken');
  }

  private failOverBudget(receivedBytes: number): void {
    const message = `all responses together hold too many bytes; this one has ${receivedBytes}`;
    this.fail(ResultCode.unknownAnswerTooLarge, message, 'broken');
  }

  private failTruncated(reason: string): void {
    this.fail(ResultCode.unknownAnswerTruncated, `incomplete response: ${reason}`, 'broken');
  }

  private recordReceived(): void {
    this.lastReceivedAt = this.settings.clock.now();
    this.isIdleSuspected = false;
  }

  private onTimer(): void {
    const { idleTimeoutMs } = this;
    const { clock } = this.settings;
    const now = clock.now();
    if (now >= this.deadlineAt) {
      this.failTimeout();
      return;
    }
    const idleMs = now - this.lastReceivedAt;
    if (idleTimeoutMs === undefined) {
      this.restartTimer(Infinity);
    } else if (this.sentAt === undefined) {
      this.restartTimer(idleTimeoutMs);
    } else if (idleMs < idleTimeoutMs) {
      this.restartTimer(idleTimeoutMs - idleMs);
    } else if (!this.isIdleSuspected) {
      this.isIdleSuspected = true;
      this.restartTimer(IDLE_GRACE_MS);
    } else {
      const message = `no data received for ${idleTimeoutMs} ms`;
      this.fail(ResultCode.unknownConnectionLost, message, 'unresponsive');
    }
  }

  private failTimeout(): void {
    const { timeoutMs } = this.bounds;
    if (this.sentAt === undefined) {
      this.fail(
        ResultCode.notRunConnect,
        `no connection was available within ${timeoutMs} ms`,
        'broken',
      );
    } else {
      this.fail(
        ResultCode.unknownTimeout,
        `no complete response within ${timeoutMs} ms`,
        'timedOut',
      );
    }
  }

  /** Restarts the timer to fire after `ms` milliseconds, or at the deadline if that is earlier. */
  private restartTimer(ms: number): void {
    const { clock } = this.settings;
    const remainingMs = Math.max(0, this.deadlineAt - clock.now());
    this.timer.cancel();
    this.timer = clock.startTimer(Math.min(ms, remainingMs), () => this.onTimer());
  }
}
