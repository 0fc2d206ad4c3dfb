import type { LimitSample } from '../admission/concurrencyLimit.js';

/** Sums over one round of calls. */
export class RoundSums {
  calls = 0;

  refusals = 0;

  peakInFlight = 0;

  private totalMs = 0;

  private ownMs = 0;

  constructor(readonly startedAt: number) {}

  add(sample: LimitSample): void {
    this.calls += 1;
    this.totalMs += sample.totalMs;
    this.ownMs += sample.ownMs;
  }

  meanTotalMs(): number {
    return this.totalMs / this.calls;
  }

  meanOwnMs(): number {
    return this.ownMs / this.calls;
  }
}
