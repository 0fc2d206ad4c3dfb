import { CallTransport, Err, ResultCode, createFailure } from '@shallotcroft/core';
import type {
  CallResponse,
  CallRequest,
  Endpoint,
  Failure,
  Result,
  SendBounds,
} from '@shallotcroft/core';
import { endpointNameOf } from './callNetwork.js';
import type { CallNetwork } from './callNetwork.js';
import { NetworkSend } from './networkSend.js';

/** The transport of one process on a `CallNetwork`. */
export class NetworkTransport extends CallTransport {
  constructor(
    private readonly network: CallNetwork,
    private readonly from: string,
  ) {
    super();
  }

  async send(
    to: Endpoint,
    path: string,
    request: CallRequest,
    bounds: SendBounds,
  ): Promise<Result<CallResponse, Failure>> {
    if (bounds.signal.aborted) {
      return Err(
        createFailure(ResultCode.notRunCancelled, 'the call was cancelled before it was sent'),
      );
    }
    return new NetworkSend(this.network, this.from, endpointNameOf(to), bounds).run(path, request);
  }

  // eslint-disable-next-line class-methods-use-this
  async close(): Promise<void> {
    // There are no connections to close.
  }
}
