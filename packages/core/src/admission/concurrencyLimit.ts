import type { Outcome } from './admission.js';

/** What one finished call tells about the target. */
export interface LimitSample {
  /** When the call finished, on the monotonic clock, in milliseconds. */
  at: number;
  /** Time at the target, in milliseconds. */
  totalMs: number;
  /** `totalMs` less the time spent waiting for calls further down. */
  ownMs: number;
  /** Calls at the target when this one finished, itself included. */
  inFlight: number;
  outcome: Outcome;
}

/** How many calls a target is given at once. */
export abstract class ConcurrencyLimit {
  /** The limit in force; whole, at least 1, or infinite. */
  abstract current(): number;

  /** The limit without short excursions that serve to measure. */
  settled(): number {
    return this.current();
  }

  /** Learns from a finished call. */
  abstract observe(sample: LimitSample): void;
}
