import { setTimeout as delay } from 'node:timers/promises';

/** A timer that was started by a clock. */
export interface Timer {
  /** Stops the timer; stopping twice does nothing. */
  cancel(): void;
}

/** Source of time, passed in so that tests decide what the time is. */
export interface Clock {
  /** Monotonic time in milliseconds; its zero means nothing. */
  now(): number;
  /** Calendar time. It may jump, and may differ between hosts. */
  date(): Date;
  /** Resolves after `ms` milliseconds; rejects with the signal's reason when aborted. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
  /** Runs `action` once after `ms` milliseconds. */
  startTimer(ms: number, action: () => void): Timer;
}

/** The clock of the machine. */
export const systemClock: Clock = {
  now: () => performance.now(),
  date: () => new Date(),
  sleep: async (ms, signal) => {
    await delay(ms, undefined, signal ? { signal } : {});
  },
  startTimer: (ms, action) => {
    const handle = setTimeout(action, ms);
    return { cancel: () => clearTimeout(handle) };
  },
};
