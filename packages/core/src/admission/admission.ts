import type { Result } from 'ts-results-es';
import type { Importance } from '../configuration/configuration.js';
import type { Failure } from '../runtime/failure.js';

/** A call that requests admission to the target. */
export interface AdmissionRequest {
  importance: Importance;
  /** Name of the root caller; its hash sets the priority within the importance. */
  caller: string;
  /** Deadline of the call on the monotonic clock, in milliseconds. */
  deadlineAt: number;
  /** Aborted when the caller cancels the call. */
  signal: AbortSignal;
  /**
   * Shortest remaining time with which the call is started, in milliseconds. By default it is
   * derived from the mean service time of all calls, which rejects short calls wrongly at a target
   * that serves both short and long ones.
   */
  minRemainingMs?: number;
  /** True for a call of a running call tree: it is queued ahead of all root calls. */
  isChildCall?: boolean;
  /** Shed level of the services that this call depends on; a call below it is not started. */
  downstreamShedLevel?: () => number;
}

/**
 * How an admitted call ended, as reported to the concurrency limit. `targetRefused` means that the
 * target itself reported overload, whether or not it may have begun the call.
 */
export type Outcome = 'completed' | 'targetRefused' | 'failed' | 'cancelled';

/** The right to have one call in flight at the target. */
export interface Permit {
  /** Time spent in the admission queue, in milliseconds. */
  readonly queueTimeMs: number;
  /**
   * Returns the slot; only the first invocation has an effect. `downstreamMs` is the part of the
   * time that the target spent waiting for its child calls, in milliseconds.
   */
  release(outcome: Outcome, downstreamMs?: number): void;
}

/** Admission control of one target: decides which calls reach it, and when. */
export interface Admission {
  /** Resolves to a permit, or to the reason why the call was not run. The promise never rejects. */
  enter(request: AdmissionRequest): Promise<Result<Permit, Failure>>;
  /** Priority below which calls are shed; each response carries it. See `shedLevel.ts`. */
  shedLevel(): number;
  /** Number of calls in flight and of calls queued, and the limit. */
  load(): AdmissionLoad;
  /** Limits the calls that are started per second; undefined removes the limit. */
  setRateLimit(callsPerSecond: number | undefined): void;
  /** Applies the settings of a new configuration. */
  reconfigure(settings: AdmissionSettings): void;
  /** Rejects queued and new calls from now on; calls in flight continue. */
  close(): void;
}

/** The part of the configuration that admission uses. */
export interface AdmissionSettings {
  limit: 'none' | 'fixed' | 'adaptive';
  slots: number;
  objective: 'goodput' | 'recovery';
}

/** A snapshot of the load at admission. */
export interface AdmissionLoad {
  inFlight: number;
  waiting: number;
  limit: number;
}
