import type { Clock } from '../runtime/clock.js';
import type { RequestTrees } from '../forwarding/requestTrees.js';
import type { RandomSource } from '../runtime/random.js';
import { PRIORITY_COUNT } from '../admission/shedLevel.js';
import type { ChildCallFailures } from './childCallFailures.js';

/** How long a level counts in full; answers of a route come a few times a second. */
const FRESH_MS = 800;
/** How long it takes to forget the highest level after that, in milliseconds. */
const FORGET_MS = 1500;
/** Share of the refused requests that is sent all the same, to hear of a new level. */
const PROBE_SHARE = 0.01;
/** Time for which the level below a route is kept, in milliseconds. */
const CACHE_MS = 20;

interface ReportedLevel {
  level: number;
  /** When it was reported, on the monotonic clock, in milliseconds. */
  at: number;
}

/** What the levels are made from. */
export interface RouteShedLevelsOptions {
  clock: Clock;
  random: RandomSource;
  trees: RequestTrees;
  failures: ChildCallFailures;
}

/**
 * Shedding levels by route. Answers an overload deep in a call graph: a request at the root is
 * refused where the services further down, which its route was seen to need, would shed its calls,
 * and routes that need none of them go on.
 */
export class RouteShedLevels {
  /** Levels that targets reported, by route and then by target. */
  private readonly reported = new Map<string, Map<string, ReportedLevel>>();

  private readonly cache = new Map<string, { level: number; until: number }>();

  constructor(private readonly options: RouteShedLevelsOptions) {}

  /** Remembers the level that a target reported for a route. */
  recordLevel(route: string, targetKey: string, level: number): void {
    let targets = this.reported.get(route);
    if (!targets) {
      targets = new Map();
      this.reported.set(route, targets);
    }
    targets.set(targetKey, { level, at: this.options.clock.now() });
  }

  /** True when a request at the root should not be sent to a target. */
  shouldShed(route: string, targetKey: string, priority: number): boolean {
    const known = this.reported.get(route)?.get(targetKey);
    if (!known || priority >= this.levelNow(known)) return false;
    return this.options.random.next() >= PROBE_SHARE;
  }

  /** Level that the calls of a route's requests must pass; worked out anew after a short time. */
  downstreamLevel(route: string): number {
    const now = this.options.clock.now();
    const cached = this.cache.get(route);
    if (cached && now < cached.until) return cached.level;
    const level = this.highestBelow(route);
    this.cache.set(route, { level, until: now + CACHE_MS });
    return level;
  }

  /** Forgets targets that have reported nothing for long. */
  sweep(): void {
    const oldest = this.options.clock.now() - FRESH_MS - FORGET_MS;
    this.reported.forEach((targets, route) => {
      targets.forEach(({ at }, key) => {
        if (at < oldest) targets.delete(key);
      });
      if (targets.size === 0) this.reported.delete(route);
    });
  }

  private highestBelow(route: string): number {
    let highest = 0;
    for (const child of this.options.trees.childrenOf(route)) {
      highest = Math.max(highest, this.leastOf(child), this.options.failures.level(child));
    }
    return highest;
  }

  /** Least of the recently reported levels; targets that reported none say nothing about the load. */
  private leastOf(route: string): number {
    const reported = [...(this.reported.get(route)?.values() ?? [])];
    const oldest = this.options.clock.now() - FRESH_MS;
    const fresh = reported.filter(({ at }) => at >= oldest);
    const levels = (fresh.length > 0 ? fresh : reported).map((known) => this.levelNow(known));
    return levels.length === 0 ? 0 : Math.min(...levels);
  }

  private levelNow({ level, at }: ReportedLevel): number {
    const staleMs = Math.max(0, this.options.clock.now() - at - FRESH_MS);
    return Math.max(0, Math.floor(level - (PRIORITY_COUNT * staleMs) / FORGET_MS));
  }
}
