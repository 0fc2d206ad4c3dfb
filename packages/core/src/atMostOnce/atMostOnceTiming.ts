import type { Clock } from '../runtime/clock.js';

/** Durations of the at-most-once protocol, in milliseconds. */
export interface AtMostOnceTiming {
  /** How long a pledge holds. */
  pledgeMs: number;
  /** How often a home asks for a pledge, and how often everything else is looked after. */
  pledgeIntervalMs: number;
  /** What a deputy waits beyond a pledge: more than two monotonic clocks drift apart in `pledgeMs`. */
  pledgeMarginMs: number;
  /** A deputy without a pledge for this long is replaced. */
  deputyPatienceMs: number;
  /** Most that the calendar clocks of two hosts differ. */
  clockBoundMs: number;
  /** How long a key and its answer are kept; older keys are refused. */
  retentionMs: number;
  /** How often the shard records are read again. */
  refreshMs: number;
  /** Over how long daemons spread that reading when the members of their service change. */
  refreshSpreadMs: number;
  /** How long a call waits at its home for a change of the record that is under way. */
  holdMs: number;
  /** How long a leaving home waits for calls that run. */
  drainMs: number;
  /** How long a leaving home tries to hand its shards over. */
  leaveMs: number;
}

/** Durations for production. */
export const defaultAtMostOnceTiming: AtMostOnceTiming = {
  pledgeMs: 3000,
  pledgeIntervalMs: 1000,
  pledgeMarginMs: 100,
  deputyPatienceMs: 2200,
  clockBoundMs: 500,
  retentionMs: 600_000,
  refreshMs: 300_000,
  refreshSpreadMs: 20_000,
  holdMs: 1000,
  drainMs: 2000,
  leaveMs: 15_000,
};

/** A moment on both clocks of a host. */
export interface Instant {
  /** Monotonic time in milliseconds. */
  monotonic: number;
  /** Calendar time in milliseconds since 1970. */
  calendar: number;
}

/** The present moment. */
export function readInstant(clock: Clock): Instant {
  return { monotonic: clock.now(), calendar: clock.date().getTime() };
}

/**
 * Milliseconds since `start` by the clock that counted more.
 * A monotonic clock may stand still while its host is suspended; the calendar then shows it.
 */
export function elapsedSince(clock: Clock, start: Instant): number {
  const now = readInstant(clock);
  return Math.max(now.monotonic - start.monotonic, now.calendar - start.calendar);
}
