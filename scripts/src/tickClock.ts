import { sleepWithTimer } from '@shallotcroft/core';
import type { Clock, Timer } from '@shallotcroft/core';

interface ScheduledAction {
  action: (() => void) | undefined;
}

/** Manual clock in steps of 1 ms; the cost of a step does not grow with the number of timers. */
export class TickClock implements Clock {
  private tick = 0;

  private readonly scheduled = new Map<number, ScheduledAction[]>();

  now(): number {
    return this.tick;
  }

  date(): Date {
    return new Date(this.tick);
  }

  startTimer(ms: number, action: () => void): Timer {
    const at = this.tick + Math.max(1, Math.ceil(ms));
    const entry: ScheduledAction = { action };
    const entries = this.scheduled.get(at);
    if (entries) entries.push(entry);
    else this.scheduled.set(at, [entry]);
    return {
      cancel: () => {
        entry.action = undefined;
      },
    };
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return sleepWithTimer(this, ms, signal);
  }

  /** Advances the time by `ms`; runs all actions of a tick before promises settle. */
  async advance(ms: number): Promise<void> {
    const end = this.tick + ms;
    while (this.tick < end) {
      this.tick += 1;
      const entries = this.scheduled.get(this.tick);
      if (entries) {
        this.scheduled.delete(this.tick);
        entries.forEach((entry) => entry.action?.());
        await TickClock.settle();
      }
    }
  }

  /** Waits until all promises that depend on no timer have settled. */
  static settle(): Promise<void> {
    return new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
