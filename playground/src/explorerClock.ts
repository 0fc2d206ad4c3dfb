import { sleepWithTimer } from '@shallotcroft/core';
import type { Clock, Timer } from '@shallotcroft/core';

/** Microtask turns after which no promise of a step is expected to be pending. */
const SETTLE_TURNS = 25;

/** A clock for exhaustive exploration: timers fire in order, without turns of the event loop. */
export class ExplorerClock implements Clock {
  private time = 0;

  private readonly timers = new Set<{ dueAt: number; action: () => void }>();

  constructor(private readonly epochMs: number) {}

  now(): number {
    return this.time;
  }

  date(): Date {
    return new Date(this.epochMs + this.time);
  }

  startTimer(ms: number, action: () => void): Timer {
    const timer = { dueAt: this.time + ms, action };
    this.timers.add(timer);
    return { cancel: () => this.timers.delete(timer) };
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return sleepWithTimer(this, ms, signal);
  }

  /** Advances the time; due timers fire in the next `settle`. */
  advance(ms: number): void {
    this.time += ms;
  }

  /** Runs all pending promises and due timers at the present time. */
  async settle(): Promise<void> {
    for (;;) {
      for (let turn = 0; turn < SETTLE_TURNS; turn++) await Promise.resolve();
      const due = [...this.timers].filter(({ dueAt }) => dueAt <= this.time);
      if (due.length === 0) return;
      due.forEach((timer) => {
        this.timers.delete(timer);
        timer.action();
      });
    }
  }
}
