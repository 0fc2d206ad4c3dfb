import { sleepWithTimer } from '@shallotcroft/core';
import type { Clock, Timer } from '@shallotcroft/core';

/**
 * Clock of a process that can be paused: time passes, but timers do not run until it is resumed.
 */
export class PausableClock implements Clock {
  private isPaused = false;

  private readonly heldActions: (() => void)[] = [];

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
      this.runWhenResumed(() => {
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

  /** Resolves when the process is not paused. */
  untilResumed(): Promise<void> {
    return new Promise((resolve) => {
      this.runWhenResumed(resolve);
    });
  }

  /** Holds all actions until `resume`. */
  pause(): void {
    this.isPaused = true;
  }

  /** Runs the held actions in order. */
  resume(): void {
    this.isPaused = false;
    this.heldActions.splice(0).forEach((action) => action());
  }

  private runWhenResumed(action: () => void): void {
    if (this.isPaused) this.heldActions.push(action);
    else action();
  }
}
