import type { Clock } from '../runtime/clock.js';

/** Tracks the child calls of a running call: the time it waits for them, and whether one failed. */
export class DownstreamCalls {
  private inFlight = 0;

  private startedAt = 0;

  private totalMs = 0;

  private hasFailed = false;

  constructor(private readonly clock: Clock) {}

  /** True once a child call has failed: the response then says nothing about the target itself. */
  get hasFailedCall(): boolean {
    return this.hasFailed;
  }

  /** True while a child call is in flight. */
  get hasCallInFlight(): boolean {
    return this.inFlight > 0;
  }

  /** Records the start of a child call. */
  begin(): void {
    if (this.inFlight === 0) this.startedAt = this.clock.now();
    this.inFlight += 1;
  }

  /** Records the end of a child call. */
  end(hasSucceeded: boolean): void {
    this.inFlight -= 1;
    if (!hasSucceeded) this.hasFailed = true;
    if (this.inFlight === 0) this.totalMs += this.clock.now() - this.startedAt;
  }

  /** Time with at least one child call in flight, in milliseconds. */
  elapsedMs(): number {
    const current = this.inFlight > 0 ? this.clock.now() - this.startedAt : 0;
    return this.totalMs + current;
  }
}
