/** Weight of the newest call. */
const WEIGHT = 0.1;
/** Time after which an estimate without news counts half. */
const HALF_LIFE_MS = 1000;

/** Expected time of a call at the target. Without news the estimate fades, so that calls are tried again. */
export class ExpectedService {
  private meanMs = 0;

  private updatedAt = 0;

  /** Expected time in milliseconds; 0 before the first call. */
  at(now: number): number {
    return this.meanMs * 0.5 ** ((now - this.updatedAt) / HALF_LIFE_MS);
  }

  /** Takes in the time of a completed call. */
  observe(totalMs: number, now: number): void {
    const known = this.meanMs > 0;
    this.meanMs += known ? WEIGHT * (totalMs - this.meanMs) : totalMs;
    this.updatedAt = now;
  }
}
