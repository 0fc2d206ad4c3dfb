import type { Clock } from '../clock.js';
import type { InnerFailures } from './innerFailures.js';
import type { CallerShedding } from '../callerShedding.js';
import type { TargetDirectory } from '../directory/targetDirectory.js';
import type { RequestTrees } from '../forwarding/requestTrees.js';
import type { RoutingKeeper } from '../routes/routingKeeper.js';

/** Time for which the level below a route is kept, in milliseconds. */
const CACHE_MS = 20;

/** What the levels are made from. */
export interface RouteLevelsOptions {
  clock: Clock;
  shedding: CallerShedding;
  directory: TargetDirectory;
  routing: RoutingKeeper;
  trees: RequestTrees;
  failures: InnerFailures;
}

/**
 * Shedding levels by route. Answers an overload deep in a call graph: a request at the root is
 * refused where the services further down, which its route was seen to need, would shed its calls,
 * and routes that need none of them go on.
 */
export class RouteLevels {
  private readonly cache = new Map<string, { level: number; until: number }>();

  constructor(private readonly options: RouteLevelsOptions) {}

  /** Remembers the level that a target told for a route. */
  learn(route: string, targetKey: string, level: number): void {
    this.options.shedding.learn(RouteLevels.nameOf(route, targetKey), level);
  }

  /** True when a request at the root should not be sent to a target. */
  refuses(route: string, targetKey: string, place: number): boolean {
    return this.options.shedding.refuses(RouteLevels.nameOf(route, targetKey), place);
  }

  /** Level below a route; worked out anew after a short time. */
  below(route: string): number {
    const now = this.options.clock.now();
    const cached = this.cache.get(route);
    if (cached && now < cached.until) return cached.level;
    const level = this.highestBelow(route);
    this.cache.set(route, { level, until: now + CACHE_MS });
    return level;
  }

  /** Level that the calls of a route's requests must pass; each service at its least target. */
  private highestBelow(route: string): number {
    let highest = 0;
    for (const child of this.options.trees.childrenOf(route)) {
      highest = Math.max(highest, this.leastOf(child), this.options.failures.level(child));
    }
    return highest;
  }

  private leastOf(name: string): number {
    const { directory, routing, shedding } = this.options;
    const route = routing.named(name);
    if (!route) return 0;
    const targets = route.shares
      .filter(({ weight }) => weight > 0)
      .flatMap(({ service }) => directory.of(service))
      .filter(({ record }) => record.state === 'ready')
      .map(({ key }) => RouteLevels.nameOf(name, key));
    return shedding.leastLevelOf(targets);
  }

  private static nameOf(route: string, targetKey: string): string {
    return `${route}@${targetKey}`;
  }
}
