import type { Clock } from '../runtime/clock.js';
import { importances } from '../configuration/configuration.js';
import type { Importance } from '../configuration/configuration.js';
import { PRIORITIES_PER_IMPORTANCE } from '../admission/shedLevel.js';

/** Weight of the newest call in the share of failures. */
const NEWEST_WEIGHT = 0.05;
/**
 * Share of failed calls above which trees that need them are not begun. A tree makes several such
 * calls: at 0.25, fewer than a third of those with four would end well.
 */
const HOPELESS_SHARE = 0.25;
/** Calls after which the share is relied on. */
const MIN_CALLS = 10;
/** Time after which the share is forgotten, so that trees are tried again, in milliseconds. */
const FORGET_MS = 1500;

interface FailureShare {
  share: number;
  calls: number;
  /** When a call last failed, on the monotonic clock, in milliseconds. */
  failedAt: number;
}

/**
 * How often calls of trees get no target to run them, by route and importance. Answers a service
 * that refuses part of what it is sent: most trees through it would fail after much work, so they
 * are refused before, from the least important on.
 */
export class ChildCallFailures {
  private readonly shares = new Map<string, FailureShare>();

  constructor(private readonly clock: Clock) {}

  /** A call of a tree has ended; `failed` when no target ran it. */
  record(route: string, importance: Importance, failed: boolean): void {
    const key = `${route}@${importance}`;
    const known = this.shares.get(key) ?? { share: 0, calls: 0, failedAt: 0 };
    const now = this.clock.now();
    const fresh = now - known.failedAt < FORGET_MS ? known.share : 0;
    this.shares.set(key, {
      share: fresh + NEWEST_WEIGHT * ((failed ? 1 : 0) - fresh),
      calls: known.calls + 1,
      failedAt: failed ? now : known.failedAt,
    });
  }

  /** Level below which trees that call this route should not begin. */
  level(route: string): number {
    let level = 0;
    // The most important trees are always tried: the retry budget is kept for them.
    for (let index = importances.length - 1; index > 0; index--) {
      if (!this.isHopeless(`${route}@${importances[index] as Importance}`)) continue;
      level = (importances.length - index) * PRIORITIES_PER_IMPORTANCE;
    }
    return level;
  }

  private isHopeless(key: string): boolean {
    const known = this.shares.get(key);
    if (!known || known.calls < MIN_CALLS) return false;
    return known.share > HOPELESS_SHARE && this.clock.now() - known.failedAt < FORGET_MS;
  }
}
