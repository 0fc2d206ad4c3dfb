import type { LimitSample } from './concurrencyLimit.js';

/** Sums of the samples of one round; see `AdaptiveLimit`. */
export class RoundSums {
  /** Number of sampled calls. */
  calls = 0;

  /** Number of calls that ended with `targetRefused`. */
  targetRefusals = 0;

  /** Highest number of calls in flight at the end of a call. */
  peakInFlight = 0;

  private totalMs = 0;

  private selfMs = 0;

  constructor(readonly startedAt: number) {}

  add(sample: LimitSample): void {
    this.calls += 1;
    this.totalMs += sample.totalMs;
    this.selfMs += sample.selfMs;
  }

  meanTotalMs(): number {
    return this.totalMs / this.calls;
  }

  meanSelfMs(): number {
    return this.selfMs / this.calls;
  }
}
