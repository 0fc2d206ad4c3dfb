import { Err, INTERIM_TIMEOUT_MS, Ok, ResultCode, createFailure } from '@shallotcroft/core';
import type {
  CallResponse,
  CallRequest,
  Failure,
  Result,
  ResultNumber,
  SendBounds,
} from '@shallotcroft/core';
import type { ArrivalHandler, CallNetwork, LinkFault } from './callNetwork.js';

type SendResult = Result<CallResponse, Failure>;

function failed(code: ResultNumber, message: string): SendResult {
  return Err(createFailure(code, message));
}

const responseFailures = new Map<LinkFault, SendResult>([
  [
    'answerLost',
    failed(ResultCode.unknownConnectionLost, 'the connection was lost before the response: reset'),
  ],
  [
    'truncated',
    failed(
      ResultCode.unknownAnswerTruncated,
      'incomplete response: the connection was reset before the response was complete',
    ),
  ],
  [
    'foreign',
    failed(
      ResultCode.unknownConnectionLost,
      'the response does not echo the id of its request; it was discarded',
    ),
  ],
]);

/** One request on a `CallNetwork`; its failures match those of `HttpExchange`. */
export class NetworkSend {
  private readonly remoteEnd = new AbortController();

  private hasEnded = false;

  private resolveResult: ((result: SendResult) => void) | undefined;

  constructor(
    private readonly network: CallNetwork,
    private readonly from: string,
    private readonly to: string,
    private readonly bounds: SendBounds,
  ) {}

  /** Sends the request; resolves with the response or a failure. */
  run(path: string, request: CallRequest): Promise<SendResult> {
    const { clock } = this.network;
    const { timeoutMs, signal } = this.bounds;
    const cancel = () =>
      this.end(
        failed(
          ResultCode.unknownCancelled,
          'the call was cancelled while waiting for the response',
        ),
      );
    const timer = clock.startTimer(timeoutMs, () =>
      this.end(failed(ResultCode.unknownTimeout, `no complete response within ${timeoutMs} ms`)),
    );
    signal.addEventListener('abort', cancel, { once: true });
    return new Promise((resolve) => {
      this.resolveResult = (result) => {
        timer.cancel();
        signal.removeEventListener('abort', cancel);
        resolve(result);
      };
      this.deliver(path, request).catch((error: unknown) => {
        throw error;
      });
    });
  }

  private async deliver(path: string, request: CallRequest): Promise<void> {
    const { network, from, to } = this;
    const fault = network.takeFault(from, to);
    const handler = network.handlerAt(to);
    if (fault === 'cut' || !handler) {
      this.end(
        failed(ResultCode.notRunConnect, `the request could not be sent: no connection to ${to}`),
      );
      return;
    }
    if (fault === 'silent' || network.isStalled(from, to)) {
      await this.failAsUnresponsive();
      return;
    }
    await network.clock.sleep(network.latencyMs);
    const response = await this.handleAtReceiver(path, request, handler);
    if (fault === 'answerSilent') {
      await this.failAsUnresponsive();
      return;
    }
    await network.clock.sleep(network.latencyMs);
    this.end(responseFailures.get(fault ?? 'cut') ?? this.checkSize(response));
  }

  private handleAtReceiver(
    path: string,
    request: CallRequest,
    handler: ArrivalHandler,
  ): Promise<CallResponse> {
    const { network, from, to } = this;
    network.onArrival?.({ from, to, path, request });
    // Copied as by a wire, so that neither end sees changes that the other makes.
    const copy = { ...request, headers: { ...request.headers }, body: Buffer.from(request.body) };
    return handler({ path, request: copy, signal: this.remoteEnd.signal });
  }

  /** Waits for the idle timeout, or that of the request, then fails as unresponsive. */
  private async failAsUnresponsive(): Promise<void> {
    const { network, bounds } = this;
    const idleMs = network.sendsInterim(this.to) ? INTERIM_TIMEOUT_MS : bounds.timeoutMs;
    await network.clock.sleep(idleMs);
    network.discardStalledConnections(this.from);
    this.end(failed(ResultCode.unknownConnectionLost, `no data was received for ${idleMs} ms`));
  }

  private checkSize(response: CallResponse): SendResult {
    if (response.body.length <= this.bounds.maxResponseBytes) return Ok(response);
    return failed(
      ResultCode.unknownAnswerTooLarge,
      `the response is larger than ${this.bounds.maxResponseBytes} bytes`,
    );
  }

  /** Ends the request with its first result; a failure disconnects the receiver. */
  private end(result: SendResult): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    if (result.isErr()) this.remoteEnd.abort(new Error('the client disconnected'));
    this.resolveResult?.(result);
  }
}
