import type { Clock } from '../runtime/clock.js';
import { importances } from '../configuration/configuration.js';
import type { Importance } from '../configuration/configuration.js';
import { PRIORITIES_PER_IMPORTANCE } from '../admission/shedLevel.js';

/** Weight of the newest call in the moving average of failures. */
const NEWEST_WEIGHT = 0.05;
/**
 * Share of failed child calls above which call trees that need them are not started. A call tree
 * makes several such calls: at 0.25, fewer than a third of the call trees with four would succeed.
 */
const MAX_FAILURE_SHARE = 0.25;
/** Number of calls below which the share is ignored. */
const MIN_CALLS = 10;
/** Time since the last failure after which call trees start again, in milliseconds. */
const EXPIRY_MS = 1500;

/** Moving average of the failures of child calls. */
interface FailureShare {
  share: number;
  calls: number;
  /** When a call last failed, on the monotonic clock, in milliseconds. */
  failedAt: number;
}

/**
 * Share of child calls that no target ran, by route and importance. When a service rejects part of
 * its calls, most call trees through it fail after much work has been done; such trees are shed at
 * their root instead, the least important first.
 */
export class ChildCallFailures {
  private readonly shares = new Map<string, FailureShare>();

  constructor(private readonly clock: Clock) {}

  /** Records the end of a child call; `hasFailed` when no target ran it. */
  record(route: string, importance: Importance, hasFailed: boolean): void {
    const key = `${route}@${importance}`;
    const known = this.shares.get(key) ?? { share: 0, calls: 0, failedAt: 0 };
    const now = this.clock.now();
    const previousShare = now - known.failedAt < EXPIRY_MS ? known.share : 0;
    this.shares.set(key, {
      share: previousShare + NEWEST_WEIGHT * ((hasFailed ? 1 : 0) - previousShare),
      calls: known.calls + 1,
      failedAt: hasFailed ? now : known.failedAt,
    });
  }

  /** Shed level for call trees that call this route: those of lower priority should not start. */
  level(route: string): number {
    let level = 0;
    // Call trees of the highest importance always start: retry budget is reserved for them.
    for (let index = importances.length - 1; index > 0; index--) {
      if (!this.exceedsMaxShare(`${route}@${importances[index] as Importance}`)) continue;
      level = (importances.length - index) * PRIORITIES_PER_IMPORTANCE;
    }
    return level;
  }

  private exceedsMaxShare(key: string): boolean {
    const known = this.shares.get(key);
    if (!known || known.calls < MIN_CALLS) return false;
    return known.share > MAX_FAILURE_SHARE && this.clock.now() - known.failedAt < EXPIRY_MS;
  }
}
