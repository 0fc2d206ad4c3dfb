/** Length of a measurement window, in milliseconds. */
const WINDOW_MS = 10_000;

/**
 * The lowest latency of the present and the previous window. When a target becomes permanently
 * slower, the floor follows after at most two windows.
 */
export class LatencyFloor {
  private presentMinMs = Infinity;

  private previousMinMs = Infinity;

  private windowEndsAt: number | undefined;

  /** The floor in milliseconds; infinite before the first observation. */
  current(): number {
    return Math.min(this.presentMinMs, this.previousMinMs);
  }

  /** Adds a latency, in milliseconds. */
  observe(latencyMs: number): void {
    this.presentMinMs = Math.min(this.presentMinMs, latencyMs);
  }

  /** Starts a new window if the present one has ended; returns whether it did. */
  rotateWindow(now: number): boolean {
    this.windowEndsAt ??= now + WINDOW_MS;
    if (now < this.windowEndsAt || this.presentMinMs === Infinity) return false;
    this.windowEndsAt = now + WINDOW_MS;
    this.previousMinMs = this.presentMinMs;
    this.presentMinMs = Infinity;
    return true;
  }

  /** Replaces all earlier observations by `latencyMs`. */
  reset(latencyMs: number): void {
    this.previousMinMs = latencyMs;
    this.presentMinMs = latencyMs;
  }
}
