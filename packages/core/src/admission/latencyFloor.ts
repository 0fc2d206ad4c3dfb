const WINDOW_MS = 10_000;

/**
 * The lowest recent latency: the least of the present window and the one before, so that a target
 * that has become slower for good is known for what it is after two windows.
 */
export class LatencyFloor {
  private present = Infinity;

  private previous = Infinity;

  private windowEndsAt: number | undefined;

  /** The floor in milliseconds; infinite before the first observation. */
  current(): number {
    return Math.min(this.present, this.previous);
  }

  /** Takes in a latency. */
  observe(latencyMs: number): void {
    this.present = Math.min(this.present, latencyMs);
  }

  /** Turns the window when it has ended; true when it did. */
  turnWindow(now: number): boolean {
    this.windowEndsAt ??= now + WINDOW_MS;
    if (now < this.windowEndsAt || this.present === Infinity) return false;
    this.windowEndsAt = now + WINDOW_MS;
    this.previous = this.present;
    this.present = Infinity;
    return true;
  }

  /** Forgets what was seen and starts again from `latencyMs`. */
  relearn(latencyMs: number): void {
    this.previous = latencyMs;
    this.present = latencyMs;
  }
}
