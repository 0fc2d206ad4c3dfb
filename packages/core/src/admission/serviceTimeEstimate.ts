/** Weight of the newest call in the moving average. */
const NEWEST_WEIGHT = 0.1;
/** Time in which an estimate without new samples halves, in milliseconds. */
const HALF_LIFE_MS = 1000;

/**
 * Moving average of the time a call takes at the target. It decays without new samples, so that
 * calls which a high estimate rejects are admitted again.
 */
export class ServiceTimeEstimate {
  private meanMs = 0;

  private updatedAt = 0;

  /** Expected time at `now`, in milliseconds; 0 before the first call. */
  at(now: number): number {
    return this.meanMs * 0.5 ** ((now - this.updatedAt) / HALF_LIFE_MS);
  }

  /** Adds the time of a completed call, in milliseconds. */
  observe(totalMs: number, now: number): void {
    const hasEstimate = this.meanMs > 0;
    this.meanMs += hasEstimate ? NEWEST_WEIGHT * (totalMs - this.meanMs) : totalMs;
    this.updatedAt = now;
  }
}
