import type { Clock } from '../runtime/clock.js';
import type { CallTrees } from '../forwarding/callTrees.js';
import type { RandomSource } from '../runtime/random.js';
import { PRIORITY_COUNT } from '../admission/shedLevel.js';
import type { ChildCallFailures } from './childCallFailures.js';

/** Time for which a level applies in full, in milliseconds; routes see a few responses a second. */
const HOLD_MS = 800;
/** Time in which the highest level then decays to 0, in milliseconds. */
const DECAY_MS = 1500;
/** Share of the requests below the level that is sent anyway, to learn the present level. */
const PROBE_SHARE = 0.01;
/** Time for which the downstream level of a route is cached, in milliseconds. */
const CACHE_MS = 20;

/** The last level that a target reported for a route. */
interface ReportedLevel {
  level: number;
  /** When it was reported, on the monotonic clock, in milliseconds. */
  reportedAt: number;
}

/** Options of `RouteShedLevels`. */
export interface RouteShedLevelsOptions {
  clock: Clock;
  random: RandomSource;
  trees: CallTrees;
  failures: ChildCallFailures;
}

/**
 * Shed levels by route. When a service deep in the call graph is overloaded, requests at the root
 * are shed if the downstream services that their route was observed to call would shed those calls.
 * Routes that call none of these services are not affected.
 */
export class RouteShedLevels {
  /** Levels that targets reported, by route and then by target. */
  private readonly reportedLevels = new Map<string, Map<string, ReportedLevel>>();

  private readonly cache = new Map<string, { level: number; expiresAt: number }>();

  constructor(private readonly options: RouteShedLevelsOptions) {}

  /** Records the level that a target reported for a route. */
  recordLevel(route: string, targetKey: string, level: number): void {
    let targets = this.reportedLevels.get(route);
    if (!targets) {
      targets = new Map();
      this.reportedLevels.set(route, targets);
    }
    targets.set(targetKey, { level, reportedAt: this.options.clock.now() });
  }

  /** True when a root request should not be sent to a target. Occasionally false for a probe. */
  shouldShed(route: string, targetKey: string, priority: number): boolean {
    const known = this.reportedLevels.get(route)?.get(targetKey);
    if (!known || priority >= this.decayedLevelOf(known)) return false;
    return this.options.random.next() >= PROBE_SHARE;
  }

  /** Shed level that applies to the child calls of a route's requests; cached for a short time. */
  downstreamLevel(route: string): number {
    const now = this.options.clock.now();
    const cached = this.cache.get(route);
    if (cached && now < cached.expiresAt) return cached.level;
    const level = this.highestDownstreamLevel(route);
    this.cache.set(route, { level, expiresAt: now + CACHE_MS });
    return level;
  }

  /** Removes levels that have decayed completely. */
  sweep(): void {
    const oldest = this.options.clock.now() - HOLD_MS - DECAY_MS;
    this.reportedLevels.forEach((targets, route) => {
      targets.forEach(({ reportedAt }, key) => {
        if (reportedAt < oldest) targets.delete(key);
      });
      if (targets.size === 0) this.reportedLevels.delete(route);
    });
  }

  private highestDownstreamLevel(route: string): number {
    let highest = 0;
    for (const child of this.options.trees.childrenOf(route)) {
      highest = Math.max(highest, this.lowestLevelOf(child), this.options.failures.level(child));
    }
    return highest;
  }

  /**
   * Lowest of the recently reported levels, or of the older ones if none is recent. Targets without
   * a report are excluded, because their load is unknown.
   */
  private lowestLevelOf(route: string): number {
    const reported = [...(this.reportedLevels.get(route)?.values() ?? [])];
    const oldest = this.options.clock.now() - HOLD_MS;
    const recent = reported.filter(({ reportedAt }) => reportedAt >= oldest);
    const levels = (recent.length > 0 ? recent : reported).map((known) =>
      this.decayedLevelOf(known),
    );
    return levels.length === 0 ? 0 : Math.min(...levels);
  }

  private decayedLevelOf({ level, reportedAt }: ReportedLevel): number {
    const decayingMs = Math.max(0, this.options.clock.now() - reportedAt - HOLD_MS);
    return Math.max(0, Math.floor(level - (PRIORITY_COUNT * decayingMs) / DECAY_MS));
  }
}
