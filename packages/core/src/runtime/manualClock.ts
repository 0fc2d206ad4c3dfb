import type { Clock, Timer } from './clock.js';
import { sleepWithTimer } from './timerSleep.js';

interface PendingTimer {
  dueAt: number;
  order: number;
  action: () => void;
}

/** A clock that is advanced explicitly, for tests and deterministic sessions. */
export class ManualClock implements Clock {
  private time = 0;

  private startedCount = 0;

  private readonly pending = new Set<PendingTimer>();

  constructor(private readonly epoch: Date = new Date('2026-01-01T00:00:00Z')) {}

  now(): number {
    return this.time;
  }

  date(): Date {
    return new Date(this.epoch.getTime() + this.time);
  }

  startTimer(ms: number, action: () => void): Timer {
    this.startedCount += 1;
    const timer: PendingTimer = {
      dueAt: this.time + Math.max(0, ms),
      order: this.startedCount,
      action,
    };
    this.pending.add(timer);
    return { cancel: () => this.pending.delete(timer) };
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return sleepWithTimer(this, ms, signal);
  }

  /** Advances the time by `ms`; fires due timers in order and lets their promises settle. */
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

  /** Waits for promises that can settle without advancing the time. */
  static async settle(): Promise<void> {
    for (let turn = 0; turn < 3; turn++) {
      await new Promise<void>((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  private nextDue(end: number): PendingTimer | undefined {
    let earliest: PendingTimer | undefined;
    this.pending.forEach((timer) => {
      if (timer.dueAt > end) return;
      const isEarlier =
        !earliest ||
        timer.dueAt < earliest.dueAt ||
        (timer.dueAt === earliest.dueAt && timer.order < earliest.order);
      if (isEarlier) earliest = timer;
    });
    return earliest;
  }
}
