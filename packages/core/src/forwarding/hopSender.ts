import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { CallTransport } from '../call.js';
import { createFailure } from '../failure.js';
import type { Failure } from '../failure.js';
import type { PeerCaller } from '../peer.js';
import { ResultCode } from '../resultCode.js';
import type { KnownTarget } from '../directory/targetDirectory.js';
import type { VoidOutcome } from './attemptRegister.js';
import { HOP_PATH, decodeHopAnswer, encodeHopRequest } from './hop.js';
import type { HopAnswer, HopRequest } from './hop.js';
import type { TargetGuard } from './targetGuard.js';

/** Control method that voids an attempt. */
export const VOID_METHOD = 'attempt.void';

/** Longest wait for the answer whether an attempt has begun, in milliseconds. */
const VOID_TIMEOUT_MS = 400;
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/** Parameters of `attempt.void`. */
export interface VoidParams {
  attemptId: string;
  /** Run of the daemon to which the attempt was sent. */
  incarnation: string;
}

/** Passes requests to the daemon beside a target. */
export interface HopSender {
  /** The daemon's answer, or why none came. */
  send(
    target: KnownTarget,
    request: HopRequest,
    signal: AbortSignal,
  ): Promise<Result<HopAnswer, Failure>>;
  /** Asks the daemon never to begin an attempt. */
  void(target: KnownTarget, request: HopRequest): Promise<VoidOutcome>;
}

/** What a sender needs. */
export interface HopSenderOptions {
  transport: CallTransport;
  peers: PeerCaller;
  /** The guard of this daemon; requests for it need no connection. */
  guard: TargetGuard;
  /** Key of this daemon's own record. */
  ownKey: string;
  /** Port for control messages of this daemon. */
  peerPort: number;
}

/** Makes a sender. */
export function createHopSender(options: HopSenderOptions): HopSender {
  const { transport, peers, guard } = options;

  return {
    send: async (target, request, signal) => {
      if (target.key === options.ownKey) return Ok(await guard.handle(request, signal));
      const { address, callPort } = target.record;
      const sent = await transport.send(
        { address, port: callPort },
        HOP_PATH,
        {
          call: request.service,
          id: request.attemptId,
          headers: encodeHopRequest(request, options.peerPort),
          body: request.body,
        },
        { timeoutMs: request.remainingMs, maxAnswerBytes: MAX_ANSWER_BYTES, signal },
      );
      if (sent.isErr()) return sent;
      const answer = decodeHopAnswer(sent.value);
      if (answer) return Ok(answer);
      return Err(createFailure(ResultCode.unknownConnectionLost, 'no daemon gave the answer'));
    },
    void: async (target, request) => {
      const { address, peerPort } = target.record;
      const params: VoidParams = {
        attemptId: request.attemptId,
        incarnation: request.incarnation,
      };
      const asked = await peers.call<VoidOutcome>(
        { address, port: peerPort },
        VOID_METHOD,
        params,
        VOID_TIMEOUT_MS,
      );
      return asked.unwrapOr('unknown');
    },
  };
}
