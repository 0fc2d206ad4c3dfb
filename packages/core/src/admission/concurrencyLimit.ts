import type { Outcome } from './admission.js';

/** Measurements of one finished call. */
export interface LimitSample {
  /** When the call finished, on the monotonic clock, in milliseconds. */
  at: number;
  /** Time at the target, in milliseconds. */
  totalMs: number;
  /** `totalMs` without the time spent waiting for child calls, in milliseconds. */
  selfMs: number;
  /** Calls at the target when this one finished, itself included. */
  inFlight: number;
  outcome: Outcome;
}

/** Limits the number of calls in flight at a target. */
export abstract class ConcurrencyLimit {
  /** The limit in force: an integer of at least 1, or Infinity. */
  abstract current(): number;

  /** The limit without the temporary reductions that serve to measure the latency floor. */
  baseLimit(): number {
    return this.current();
  }

  /** Updates the limit with the sample of a finished call. */
  abstract observe(sample: LimitSample): void;
}
