import type { IncomingHttpHeaders } from 'node:http';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Dispatcher } from 'undici';
import type { CallResponse, CallRequest, SendBounds } from '../calls/call.js';
import type { Clock, Timer } from '../runtime/clock.js';
import { endToEndHeaders } from './endToEndHeaders.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { ResultCode } from '../runtime/resultCode.js';
import type { ResultNumber } from '../runtime/resultCode.js';

// Lets data that has already arrived be read before a connection is called silent.
const SILENCE_GRACE_MS = 20;
const FIRST_FINAL_STATUS = 200;
const statusesWithoutBody = new Set([204, 304]);

/** What the exchanges of one transport have in common. */
export interface ExchangeSettings {
  clock: Clock;
  /** Longest silence before the other end is asked on a new connection; undefined: no such bound. */
  silenceMs: number | undefined;
  /** Whether every answer must repeat the id of its request. */
  echoRequired: boolean;
  /** Header that carries the id of a request and its echo, in lower case. */
  idHeader: string;
  /** Whether an answer without a length may end with a clean close of its connection. */
  closeDelimited: boolean;
}

/** How an exchange left its connection. */
export type ConnectionFate = 'reusable' | 'broken' | 'timedOut' | 'silent' | 'foreignAnswer';

/** One request and its answer on one connection. */
export class HttpExchange implements Dispatcher.DispatchHandler {
  /** When the request was written, in milliseconds; undefined while no byte was sent. */
  sentAt: number | undefined;

  /** True when the result was given. */
  ended = false;

  private onEnd: ((fate: ConnectionFate) => void) | undefined;

  private readonly deadlineAt: number;

  private readonly silenceMs: number | undefined;

  private heardAt = 0;

  private suspected = false;

  private status = 0;

  private headers: CallResponse['headers'] = {};

  private expectedBytes: number | undefined;

  private endsWithClose = false;

  private hasConnectionFailed: (() => boolean) | undefined;

  private receivedBytes = 0;

  private chunks: Buffer[] = [];

  private timer: Timer;

  /** Ends the exchange because its answer is no longer wanted. */
  readonly cancel = (): void => {
    if (this.sentAt === undefined) {
      this.fail(ResultCode.notRunCancelled, 'cancelled before it was sent', 'broken');
    } else {
      this.fail(ResultCode.unknownCancelled, 'cancelled while the answer was awaited', 'broken');
    }
  };

  constructor(
    private readonly id: string,
    private readonly request: CallRequest,
    private readonly bounds: SendBounds,
    private readonly settings: ExchangeSettings,
    private readonly resolve: (result: Result<CallResponse, Failure>) => void,
  ) {
    const { clock } = settings;
    this.deadlineAt = clock.now() + bounds.timeoutMs;
    this.silenceMs = bounds.idleTimeoutMs ?? settings.silenceMs;
    const firstCheckMs = Math.min(bounds.timeoutMs, this.silenceMs ?? Infinity);
    this.timer = clock.startTimer(firstCheckMs, () => this.onTimer());
    bounds.signal.addEventListener('abort', this.cancel, { once: true });
  }

  /** Goes on `connection`; `onEnd` is called once, after the result was given. */
  start(
    connection: Dispatcher,
    hasFailed: () => boolean,
    path: string,
    onEnd: (fate: ConnectionFate) => void,
  ): void {
    this.onEnd = onEnd;
    this.hasConnectionFailed = hasFailed;
    const { method = 'POST', body } = this.request;
    const headers = { ...this.request.headers, [this.settings.idHeader]: this.id };
    connection.dispatch(
      {
        method,
        path,
        headers,
        body: body.length > 0 ? body : null,
      },
      this,
    );
  }

  /** Ends the exchange with a failure; nothing happens when it is over already. */
  fail(code: ResultNumber, message: string, fate: ConnectionFate): void {
    if (this.ended) return;
    this.end(Err(createFailure(code, message)), fate);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    // A request that was written once is never written again by the HTTP library.
    if (this.ended || this.sentAt !== undefined) {
      controller.abort(new Error('the call has ended'));
      return;
    }
    this.sentAt = this.settings.clock.now();
    this.heardAt = this.sentAt;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    this.hear();
    if (this.ended || status < FIRST_FINAL_STATUS) return;
    if (!this.isOwn(headers[this.settings.idHeader])) {
      const message = 'the connection brought the answer to another request; it was dropped';
      this.fail(ResultCode.unknownConnectionLost, message, 'foreignAnswer');
      return;
    }
    this.status = status;
    this.expectLength(headers);
    this.headers = endToEndHeaders(headers);
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.hear();
    if (this.ended) return;
    this.receivedBytes += chunk.length;
    if (this.receivedBytes > this.bounds.maxResponseBytes) this.failTooLarge();
    else this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    if (this.ended) return;
    if (this.hasConnectionFailed?.()) {
      this.failTruncated('the connection was reset before the answer ended');
      return;
    }
    if (this.expectedBytes !== undefined && this.expectedBytes !== this.receivedBytes) {
      this.failTruncated(`${this.receivedBytes} of ${this.expectedBytes} bytes came`);
      return;
    }
    const { chunks } = this;
    const body = chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks);
    const response: CallResponse = { status: this.status, headers: this.headers, body };
    if (!this.endsWithClose) this.end(Ok(response), 'reusable');
    else this.end(Ok({ ...response, endsWithConnection: true }), 'broken');
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.sentAt === undefined) {
      this.fail(ResultCode.notRunConnect, `could not be sent: ${error.message}`, 'broken');
    } else if (this.status !== 0) {
      this.failTruncated(error.message);
    } else {
      const message = `the connection was lost before an answer came: ${error.message}`;
      this.fail(ResultCode.unknownConnectionLost, message, 'broken');
    }
  }

  private end(result: Result<CallResponse, Failure>, fate: ConnectionFate): void {
    this.ended = true;
    this.timer.cancel();
    this.bounds.signal.removeEventListener('abort', this.cancel);
    this.chunks = [];
    this.resolve(result);
    this.onEnd?.(fate);
  }

  private isOwn(echo: string | string[] | undefined): boolean {
    if (echo === undefined) return !this.settings.echoRequired;
    return echo === this.id;
  }

  /** Unless it is allowed, an answer that ends with its connection has no end that can be checked. */
  private expectLength(headers: IncomingHttpHeaders): void {
    if (this.request.method === 'HEAD') return;
    const length = headers['content-length'];
    if (length !== undefined) {
      this.expectedBytes = Number(length);
      if (this.expectedBytes > this.bounds.maxResponseBytes) this.failTooLarge();
      return;
    }
    const chunked = headers['transfer-encoding'] === 'chunked';
    if (chunked || statusesWithoutBody.has(this.status)) return;
    this.endsWithClose = this.settings.closeDelimited;
    if (this.endsWithClose) return;
    this.failTruncated('it carries neither a length nor chunks');
  }

  private failTooLarge(): void {
    const message = `the answer is larger than ${this.bounds.maxResponseBytes} bytes`;
    this.fail(ResultCode.unknownAnswerTooLarge, message, 'broken');
  }

  private failTruncated(why: string): void {
    this.fail(ResultCode.unknownAnswerTruncated, `the answer is not whole: ${why}`, 'broken');
  }

  private hear(): void {
    this.heardAt = this.settings.clock.now();
    this.suspected = false;
  }

  private onTimer(): void {
    const { silenceMs } = this;
    const { clock } = this.settings;
    const now = clock.now();
    if (now >= this.deadlineAt) {
      this.failTimeout();
      return;
    }
    const silentMs = now - this.heardAt;
    if (silenceMs === undefined) {
      this.restartTimer(Infinity);
    } else if (this.sentAt === undefined) {
      this.restartTimer(silenceMs);
    } else if (silentMs < silenceMs) {
      this.restartTimer(silenceMs - silentMs);
    } else if (!this.suspected) {
      this.suspected = true;
      this.restartTimer(SILENCE_GRACE_MS);
    } else {
      const message = `the connection was silent for ${silenceMs} ms`;
      this.fail(ResultCode.unknownConnectionLost, message, 'silent');
    }
  }

  private failTimeout(): void {
    const { timeoutMs } = this.bounds;
    if (this.sentAt === undefined) {
      this.fail(ResultCode.notRunConnect, `no connection within ${timeoutMs} ms`, 'broken');
    } else {
      this.fail(ResultCode.unknownTimeout, `no whole answer within ${timeoutMs} ms`, 'timedOut');
    }
  }

  /** Waits `ms` milliseconds, or until the deadline if that is earlier. */
  private restartTimer(ms: number): void {
    const { clock } = this.settings;
    const remainingMs = Math.max(0, this.deadlineAt - clock.now());
    this.timer.cancel();
    this.timer = clock.startTimer(Math.min(ms, remainingMs), () => this.onTimer());
  }
}
