import type { Result } from 'ts-results-es';
import type { Failure } from '../runtime/failure.js';

/** Headers of a call, by lower-case name. */
export type CallHeaders = Record<string, string>;

/** A whole request for a call. */
export interface CallRequest {
  /** Name of the call, `service.call`. */
  call: string;
  headers: CallHeaders;
  body: Buffer;
  /** HTTP method; POST when absent. */
  method?: string;
  /** Id that the answer must repeat; the transport makes one when absent. */
  id?: string;
  /** True when the key was minted for this request, so that no other attempt can carry it. */
  keyIsNew?: boolean;
}

/** A whole answer of a call. */
export interface CallResponse {
  /** HTTP status of the answer. */
  status: number;
  headers: CallHeaders;
  body: Buffer;
  /** True when the answer had no length and ended with its connection. */
  endsWithConnection?: boolean;
}

/** Where calls are sent: a target, or the daemon beside it. */
export interface Endpoint {
  address: string;
  port: number;
}

/** Bounds of one send. */
export interface SendBounds {
  /** Longest wait for the whole answer, in milliseconds. */
  timeoutMs: number;
  /** Largest answer, in bytes. */
  maxResponseBytes: number;
  /** Aborted when the answer is no longer wanted. */
  signal: AbortSignal;
  /** Longest silence, in milliseconds, of an end that sends interim answers. */
  idleTimeoutMs?: number | undefined;
}

/**
 * Carries whole requests and whole answers.
 * `notRun…` failures are given only where no byte of the request was sent;
 * every other failure is `unknown…`.
 */
export abstract class CallTransport {
  abstract send(
    to: Endpoint,
    path: string,
    request: CallRequest,
    bounds: SendBounds,
  ): Promise<Result<CallResponse, Failure>>;

  /** Ends all connections. */
  abstract close(): Promise<void>;
}
