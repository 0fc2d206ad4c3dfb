import type { Clock } from '../runtime/clock.js';

/** Time whose permitted calls may be started at once after a time with fewer calls, in milliseconds. */
const BURST_MS = 200;
/**
 * Lowest rate, in calls per second: without any call the target could not report that it accepts more
 * calls again.
 */
export const MIN_CALLS_PER_SECOND = 0.5;
const MS_PER_S = 1000;

/** Limits the rate at which calls are started: a token bucket, without limit until a rate is set. */
export class RateLimit {
  private callsPerSecond: number | undefined;

  /** Calls that may be started at `updatedAt`; the fraction of a call counts for later ones. */
  private permits = 0;

  private updatedAt = 0;

  constructor(private readonly clock: Clock) {}

  /** The rate in force, in calls per second; undefined without a limit. */
  current(): number | undefined {
    return this.callsPerSecond;
  }

  /** Sets the rate in calls per second; undefined removes the limit. */
  set(callsPerSecond: number | undefined): void {
    this.refill();
    // Calls that were started before the first limit count as if they had used its permits.
    if (this.callsPerSecond === undefined) this.permits = 0;
    this.callsPerSecond =
      callsPerSecond === undefined ? undefined : Math.max(MIN_CALLS_PER_SECOND, callsPerSecond);
    this.permits = Math.min(this.permits, this.capacity());
  }

  /** Whole milliseconds until the next call may be started; 0 if it may be started now. */
  waitMs(): number {
    if (this.callsPerSecond === undefined) return 0;
    this.refill();
    return Math.max(0, Math.ceil(((1 - this.permits) * MS_PER_S) / this.callsPerSecond));
  }

  /** Counts the start of a call. */
  take(): void {
    if (this.callsPerSecond === undefined) return;
    this.refill();
    this.permits -= 1;
  }

  private capacity(): number {
    if (this.callsPerSecond === undefined) return Infinity;
    return Math.max(1, (this.callsPerSecond * BURST_MS) / MS_PER_S);
  }

  private refill(): void {
    const now = this.clock.now();
    if (this.callsPerSecond !== undefined) {
      const added = ((now - this.updatedAt) * this.callsPerSecond) / MS_PER_S;
      this.permits = Math.min(this.capacity(), this.permits + added);
    }
    this.updatedAt = now;
  }
}
