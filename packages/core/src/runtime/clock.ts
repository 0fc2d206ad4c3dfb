import { setTimeout as delay } from 'node:timers/promises';

/** A timer started by a clock. */
export interface Timer {
  /** Stops the timer; idempotent. */
  cancel(): void;
}

/** Source of time, injected so that tests control the time. */
export interface Clock {
  /** Monotonic time in milliseconds, from an arbitrary origin. */
  now(): number;
  /** Wall-clock time, which may jump and may differ between hosts. */
  date(): Date;
  /** Resolves after `ms` milliseconds; rejects with the signal's reason when aborted. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
  /** Runs `action` once after `ms` milliseconds. */
  startTimer(ms: number, action: () => void): Timer;
}

/** The system clock. */
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
