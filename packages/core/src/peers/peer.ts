import type { Result } from 'ts-results-es';
import type { Failure } from '../runtime/failure.js';

/** Address at which a daemon listens for control messages. */
export interface PeerAddress {
  address: string;
  port: number;
}

/** Sends control messages to other daemons. */
export interface PeerCaller {
  /**
   * Calls `method` at the daemon `to`.
   * Fails with `daemonUnreachable` when no response arrives within `timeoutMs` milliseconds;
   * the method may have run nevertheless.
   */
  call<T>(
    to: PeerAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<T, Failure>>;
  /** Closes all connections. */
  close(): Promise<void>;
}

/** Handler of a control method; resolves with the result. */
export type PeerMethod = (params: unknown) => Promise<unknown>;

/** Registry of the control methods of a daemon. */
export interface PeerMethods {
  /** Registers the handler of `method`. */
  register(method: string, handler: PeerMethod): void;
}
