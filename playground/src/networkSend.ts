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

type Sent = Result<CallResponse, Failure>;

function failed(code: ResultNumber, message: string): Sent {
  return Err(createFailure(code, message));
}

const lostAnswers = new Map<LinkFault, Sent>([
  ['answerLost', failed(ResultCode.unknownConnectionLost, 'the connection was reset')],
  ['truncated', failed(ResultCode.unknownAnswerTruncated, 'the answer stopped midway')],
  ['foreign', failed(ResultCode.unknownConnectionLost, 'the answer was for another request')],
]);

/** One send on a `CallNetwork`, with the failures that the HTTP transport gives. */
export class NetworkSend {
  private readonly far = new AbortController();

  private ended = false;

  private settle: ((sent: Sent) => void) | undefined;

  constructor(
    private readonly network: CallNetwork,
    private readonly from: string,
    private readonly to: string,
    private readonly bounds: SendBounds,
  ) {}

  run(path: string, request: CallRequest): Promise<Sent> {
    const { clock } = this.network;
    const { timeoutMs, signal } = this.bounds;
    const cancel = () => this.end(failed(ResultCode.unknownCancelled, 'cancelled'));
    const timer = clock.startTimer(timeoutMs, () =>
      this.end(failed(ResultCode.unknownTimeout, `no whole answer within ${timeoutMs} ms`)),
    );
    signal.addEventListener('abort', cancel, { once: true });
    return new Promise((resolve) => {
      this.settle = (sent) => {
        timer.cancel();
        signal.removeEventListener('abort', cancel);
        resolve(sent);
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
      this.end(failed(ResultCode.notRunConnect, `${to} can not be reached`));
      return;
    }
    if (fault === 'silent' || network.isForgotten(from, to)) {
      await this.staySilent();
      return;
    }
    await network.clock.sleep(network.latencyMs);
    const response = await this.arrive(path, request, handler);
    if (fault === 'answerSilent') {
      await this.staySilent();
      return;
    }
    await network.clock.sleep(network.latencyMs);
    this.end(lostAnswers.get(fault ?? 'cut') ?? this.checkSize(response));
  }

  private arrive(
    path: string,
    request: CallRequest,
    handler: ArrivalHandler,
  ): Promise<CallResponse> {
    const { network, from, to } = this;
    network.onArrival?.({ from, to, path, request });
    // Headers and bytes go over a wire: no end sees the other's changes.
    const copy = { ...request, headers: { ...request.headers }, body: Buffer.from(request.body) };
    return handler({ path, request: copy, signal: this.far.signal });
  }

  private async staySilent(): Promise<void> {
    const { network, bounds } = this;
    const boundMs = network.sendsInterim(this.to) ? INTERIM_TIMEOUT_MS : bounds.timeoutMs;
    await network.clock.sleep(boundMs);
    network.noticeSilence(this.from);
    this.end(failed(ResultCode.unknownConnectionLost, 'the connection was silent'));
  }

  private checkSize(response: CallResponse): Sent {
    if (response.body.length <= this.bounds.maxResponseBytes) return Ok(response);
    return failed(ResultCode.unknownAnswerTooLarge, 'the answer is too large');
  }

  /** The first end counts; the other side sees the connection go. */
  private end(sent: Sent): void {
    if (this.ended) return;
    this.ended = true;
    if (sent.isErr()) this.far.abort(new Error('the caller has gone'));
    this.settle?.(sent);
  }
}
