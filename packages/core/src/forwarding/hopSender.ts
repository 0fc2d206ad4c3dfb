import { Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Clock } from '../runtime/clock.js';
import { elapsedSince } from '../runtime/clockReading.js';
import type { ClockReading } from '../runtime/clockReading.js';
import type { Failure } from '../runtime/failure.js';
import type { PeerCaller } from '../peers/peer.js';
import type { KnownTarget } from '../directory/targetDirectory.js';
import type { VoidOutcome } from './attemptRegistry.js';
import type { HopClient } from './hopClient.js';
import type { HopResponse, HopRequest } from './hopMessages.js';
import type { RequestGuard } from './requestGuard.js';

/** Control method that voids an attempt. */
export const VOID_METHOD = 'attempt.void';

/** Timeout of `attempt.void`, in milliseconds. */
const VOID_TIMEOUT_MS = 400;
/**
 * Age of an attempt above which it is not voided, in milliseconds: a sender that was suspended does
 * not know whether the other daemon still remembers the attempt.
 */
const MAX_VOID_AGE_MS = 30_000;

/** Parameters of `attempt.void`. */
export interface VoidParams {
  attemptId: string;
  /** Incarnation of the daemon to which the attempt was sent. */
  incarnation: string;
}

/** Sends requests to the daemon beside a target. */
export interface HopSender {
  /** Sends a request; fails when no response of the daemon arrives. */
  send(
    target: KnownTarget,
    request: HopRequest,
    signal: AbortSignal,
  ): Promise<Result<HopResponse, Failure>>;
  /**
   * Asks the daemon to void the attempt `request`, sent at `sentAt`. Returns `unknown` when the
   * daemon does not respond or has restarted since, or when the attempt is too old.
   */
  void(target: KnownTarget, request: HopRequest, sentAt: ClockReading): Promise<VoidOutcome>;
}

/** Options of `createHopSender`. */
export interface HopSenderOptions {
  clock: Clock;
  client: HopClient;
  peers: PeerCaller;
  /** Guard of this daemon's own target; requests for that target need no connection. */
  guard: RequestGuard;
  /** Key of the target record of this daemon. */
  ownKey: string;
}

/** Creates the hop sender of one daemon. */
export function createHopSender(options: HopSenderOptions): HopSender {
  const { peers, guard } = options;

  return {
    send: async (target, request, signal) => {
      if (target.key === options.ownKey) return Ok(await guard.handle(request, signal));
      const { address, callPort } = target.record;
      return options.client.send({ address, port: callPort }, request, request.remainingMs, signal);
    },
    void: async (target, request, sentAt) => {
      if (elapsedSince(options.clock, sentAt) > MAX_VOID_AGE_MS) return 'unknown';
      const { address, peerPort } = target.record;
      const params: VoidParams = {
        attemptId: request.attemptId,
        incarnation: request.incarnation,
      };
      const outcome = await peers.call<VoidOutcome>(
        { address, port: peerPort },
        VOID_METHOD,
        params,
        VOID_TIMEOUT_MS,
      );
      return outcome.unwrapOr('unknown');
    },
  };
}
