import type { Clock } from '../runtime/clock.js';

/** Follows the calls that a running call makes: how long it waits for them, and how they end. */
export class DownstreamCalls {
  private waiting = 0;

  private startedAt = 0;

  private totalMs = 0;

  private failure = false;

  constructor(private readonly clock: Clock) {}

  /** True once a call below has failed: what the target then answers is no word about itself. */
  get anyFailed(): boolean {
    return this.failure;
  }

  /** True while a call below is under way. */
  get anyUnderWay(): boolean {
    return this.waiting > 0;
  }

  /** A call below begins. */
  begin(): void {
    if (this.waiting === 0) this.startedAt = this.clock.now();
    this.waiting += 1;
  }

  /** A call below has ended. */
  end(succeeded: boolean): void {
    this.waiting -= 1;
    if (!succeeded) this.failure = true;
    if (this.waiting === 0) this.totalMs += this.clock.now() - this.startedAt;
  }

  /** Time with at least one call below under way, in milliseconds. */
  elapsedMs(): number {
    const current = this.waiting > 0 ? this.clock.now() - this.startedAt : 0;
    return this.totalMs + current;
  }
}
