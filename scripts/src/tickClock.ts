import { sleepWithTimer } from '@shallotcroft/core';
import type { Clock, Timer } from '@shallotcroft/core';

interface Entry {
  action: (() => void) | undefined;
}

/** A manual clock in steps of a millisecond whose cost does not grow with the number of timers. */
export class TickClock implements Clock {
  private tick = 0;

  private readonly due = new Map<number, Entry[]>();

  now(): number {
    return this.tick;
  }

  date(): Date {
    return new Date(this.tick);
  }

  startTimer(ms: number, action: () => void): Timer {
    const at = this.tick + Math.max(1, Math.ceil(ms));
    const entry: Entry = { action };
    const entries = this.due.get(at);
    if (entries) entries.push(entry);
    else this.due.set(at, [entry]);
    return {
      cancel: () => {
        entry.action = undefined;
      },
    };
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return sleepWithTimer(this, ms, signal);
  }

  /** Lets time pass; what is due at the same tick happens together. */
  async advance(ms: number): Promise<void> {
    const end = this.tick + ms;
    while (this.tick < end) {
      this.tick += 1;
      const entries = this.due.get(this.tick);
      if (entries) {
        this.due.delete(this.tick);
        entries.forEach((entry) => entry.action?.());
        await TickClock.settle();
      }
    }
  }

  /** Lets every promise settle that needs no time. */
  static settle(): Promise<void> {
    return new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
