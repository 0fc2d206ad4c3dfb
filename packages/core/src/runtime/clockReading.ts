import type { Clock } from './clock.js';

/** A reading of the monotonic and the calendar clock of a host, taken together. */
export interface ClockReading {
  /** Monotonic time in milliseconds. */
  monotonic: number;
  /** Calendar time in milliseconds since 1970. */
  calendar: number;
}

/** Reads both clocks. */
export function readClocks(clock: Clock): ClockReading {
  return { monotonic: clock.now(), calendar: clock.date().getTime() };
}

/**
 * Milliseconds since `start`, by whichever clock advanced further. A monotonic clock may stop while
 * its host is suspended; the calendar clock then includes that time.
 */
export function elapsedSince(clock: Clock, start: ClockReading): number {
  const now = readClocks(clock);
  return Math.max(now.monotonic - start.monotonic, now.calendar - start.calendar);
}
