import type { Clock, Timer } from './clock.js';
import { sleepByTimer } from './timerSleep.js';

interface PendingTimer {
  dueAt: number;
  order: number;
  action: () => void;
}

/** A clock that moves only when told to, for tests and deterministic sessions. */
export class ManualClock implements Clock {
  private time = 0;

  private started = 0;

  private readonly pending = new Set<PendingTimer>();

  constructor(private readonly epoch: Date = new Date('2026-01-01T00:00:00Z')) {}

  now(): number {
    return this.time;
  }

  date(): Date {
    return new Date(this.epoch.getTime() + this.time);
  }

  startTimer(ms: number, action: () => void): Timer {
    this.started += 1;
    const timer: PendingTimer = {
      dueAt: this.time + Math.max(0, ms),
      order: this.started,
      action,
    };
    this.pending.add(timer);
    return { cancel: () => this.pending.delete(timer) };
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return sleepByTimer(this, ms, signal);
  }

  /** Moves time forward by `ms`, firing due timers in order and letting their promises settle. */
  async advance(ms: number): Promise<void> {
    const end = this.time + ms;
    for (;;) {
      await ManualClock.settle();
      const next = this.nextDue(end);
      if (!next) break;
      this.pending.delete(next);
      this.time = Math.max(this.time, next.dueAt);
      next.action();
    }
    this.time = end;
    await ManualClock.settle();
  }

  /** Lets every promise that can settle without time passing do so. */
  static async settle(): Promise<void> {
    for (let turn = 0; turn < 3; turn++) {
      await new Promise<void>((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  private nextDue(end: number): PendingTimer | undefined {
    let best: PendingTimer | undefined;
    this.pending.forEach((timer) => {
      if (timer.dueAt > end) return;
      const earlier =
        !best ||
        timer.dueAt < best.dueAt ||
        (timer.dueAt === best.dueAt && timer.order < best.order);
      if (earlier) best = timer;
    });
    return best;
  }
}
