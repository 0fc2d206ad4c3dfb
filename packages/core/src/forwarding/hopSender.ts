import { Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Failure } from '../runtime/failure.js';
import type { PeerCaller } from '../peers/peer.js';
import type { KnownTarget } from '../directory/targetDirectory.js';
import type { VoidOutcome } from './attemptRegistry.js';
import type { HopClient } from './hopClient.js';
import type { HopResponse, HopRequest } from './hopMessages.js';
import type { TargetGuard } from './targetGuard.js';

/** Control method that voids an attempt. */
export const VOID_METHOD = 'attempt.void';

/** Longest wait for the answer whether an attempt has begun, in milliseconds. */
const VOID_TIMEOUT_MS = 400;

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
  ): Promise<Result<HopResponse, Failure>>;
  /** Asks the daemon never to begin an attempt. */
  void(target: KnownTarget, request: HopRequest): Promise<VoidOutcome>;
}

/** What a sender needs. */
export interface HopSenderOptions {
  client: HopClient;
  peers: PeerCaller;
  /** The guard of this daemon; requests for it need no connection. */
  guard: TargetGuard;
  /** Key of this daemon's own record. */
  ownKey: string;
}

/** Makes a sender. */
export function createHopSender(options: HopSenderOptions): HopSender {
  const { peers, guard } = options;

  return {
    send: async (target, request, signal) => {
      if (target.key === options.ownKey) return Ok(await guard.handle(request, signal));
      const { address, callPort } = target.record;
      return options.client.send({ address, port: callPort }, request, request.remainingMs, signal);
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
