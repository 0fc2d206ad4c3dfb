import type { Clock } from './clock.js';

/** Measures how long a running call waits for calls that it made itself. */
export class TimeBelow {
  private waiting = 0;

  private startedAt = 0;

  private totalMs = 0;

  constructor(private readonly clock: Clock) {}

  /** A call below begins. */
  begin(): void {
    if (this.waiting === 0) this.startedAt = this.clock.now();
    this.waiting += 1;
  }

  /** A call below has ended. */
  end(): void {
    this.waiting -= 1;
    if (this.waiting === 0) this.totalMs += this.clock.now() - this.startedAt;
  }

  /** Time with at least one call below under way, in milliseconds. */
  elapsedMs(): number {
    const current = this.waiting > 0 ? this.clock.now() - this.startedAt : 0;
    return this.totalMs + current;
  }
}
