import type { Result } from 'ts-results-es';
import type { Importance } from '../configuration/configuration.js';
import type { Failure } from '../runtime/failure.js';

/** A call that asks to be let in to the target. */
export interface AdmissionRequest {
  importance: Importance;
  /** Name of the root caller; its hash places the call within its class. */
  caller: string;
  /** When the caller stops waiting, on the monotonic clock, in milliseconds. */
  deadlineAt: number;
  /** Aborted when the caller has gone. */
  signal: AbortSignal;
  /**
   * Least time that the call is worth beginning for, in milliseconds. Absent, it follows the mean
   * of all calls, which misjudges the short ones of a target that takes calls of several kinds.
   */
  minRemainingMs?: number;
  /** True for a call of a tree that has begun: it goes before all that has not. */
  isChildCall?: boolean;
  /** Level of the services that this call will need; below it the call is not begun. */
  downstreamShedLevel?: () => number;
}

/** How an admitted call ended, as the limiter should see it. */
export type Outcome = 'completed' | 'targetRefused' | 'failed' | 'cancelled';

/** The right to have one call at the target. */
export interface Permit {
  /** Time spent waiting, in milliseconds. */
  readonly waitedMs: number;
  /**
   * Gives the slot back; only the first call counts. `belowMs` is the part of the time that the
   * target spent waiting for its own calls to other services, in milliseconds.
   */
  release(outcome: Outcome, belowMs?: number): void;
}

/** Decides which calls reach the target, and when. */
export interface Admission {
  /** A permit, or the reason why the call was not run. Never rejects. */
  enter(request: AdmissionRequest): Promise<Result<Permit, Failure>>;
  /** Level below which calls are refused; rides back on answers. See `shedLevel.ts`. */
  shedLevel(): number;
  /** Calls at the target and calls waiting. */
  load(): AdmissionLoad;
  /** Changes what is weighed; called when a new configuration is in force. */
  reconfigure(settings: AdmissionSettings): void;
  /** Refuses new calls from now on; those inside go on. */
  close(): void;
}

/** What admission is told by the configuration. */
export interface AdmissionSettings {
  limit: 'none' | 'fixed' | 'adaptive';
  slots: number;
  objective: 'goodput' | 'recovery';
}

/** A snapshot of admission. */
export interface AdmissionLoad {
  inFlight: number;
  waiting: number;
  limit: number;
}
