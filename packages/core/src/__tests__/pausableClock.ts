import type { Clock } from '../clock.js';
import type { ManualClock } from '../manualClock.js';

/** A clock of one daemon that can stand still: its timers fire only when it goes on. */
export class PausableClock implements Clock {
  private paused = false;

  private held: (() => void)[] = [];

  constructor(private readonly clock: ManualClock) {}

  now(): number {
    return this.clock.now();
  }

  date(): Date {
    return this.clock.date();
  }

  startTimer(ms: number, action: () => void): { cancel: () => void } {
    let cancelled = false;
    const fire = (): void => {
      if (!cancelled) action();
    };
    const timer = this.clock.startTimer(ms, () => (this.paused ? this.held.push(fire) : fire()));
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    signal?.throwIfAborted();
    let wake: () => void = () => undefined;
    await new Promise<void>((resolve) => {
      wake = () => resolve();
      this.startTimer(ms, wake);
      signal?.addEventListener('abort', wake);
    });
    signal?.removeEventListener('abort', wake);
    signal?.throwIfAborted();
  }

  pause(): void {
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
    this.held.splice(0).forEach((fire) => fire());
  }
}
