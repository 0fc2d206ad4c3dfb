import { sleepWithTimer } from '@shallotcroft/core';
import type { Clock, Timer } from '@shallotcroft/core';

/** The clock of one process that can be paused: time goes on, but nothing of it happens. */
export class PausableClock implements Clock {
  private paused = false;

  private readonly held: (() => void)[] = [];

  constructor(private readonly clock: Clock) {}

  now(): number {
    return this.clock.now();
  }

  date(): Date {
    return this.clock.date();
  }

  startTimer(ms: number, action: () => void): Timer {
    let cancelled = false;
    const timer = this.clock.startTimer(ms, () => {
      this.whenAwake(() => {
        if (!cancelled) action();
      });
    });
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return sleepWithTimer(this, ms, signal);
  }

  /** Resolves once the process is awake. */
  awake(): Promise<void> {
    return new Promise((resolve) => {
      this.whenAwake(resolve);
    });
  }

  /** Holds everything back until `resume`. */
  pause(): void {
    this.paused = true;
  }

  /** Lets everything happen that was held back, in its order. */
  resume(): void {
    this.paused = false;
    this.held.splice(0).forEach((action) => action());
  }

  private whenAwake(action: () => void): void {
    if (this.paused) this.held.push(action);
    else action();
  }
}
