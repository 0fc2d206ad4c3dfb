import type { Result } from 'ts-results-es';
import type { Failure } from '../runtime/failure.js';

/** Where a daemon listens for control messages. */
export interface PeerAddress {
  address: string;
  port: number;
}

/** Sends control messages to other daemons. */
export interface PeerCaller {
  /**
   * Calls `method` at the daemon `to`.
   * Fails with `daemonUnreachable` when no answer comes within `timeoutMs` milliseconds;
   * the method may have run all the same.
   */
  call<T>(
    to: PeerAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<T, Failure>>;
  /** Ends all connections. */
  close(): Promise<void>;
}

/** Handler of one control method; what it resolves with is the answer. */
export type PeerMethod = (params: unknown) => Promise<unknown>;

/** Where the parts of a daemon register the control methods that they answer. */
export interface PeerMethods {
  register(method: string, handler: PeerMethod): void;
}
