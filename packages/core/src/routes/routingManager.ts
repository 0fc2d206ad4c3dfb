import type { Logger } from '../observability/logger.js';
import type { RandomSource } from '../runtime/random.js';
import type { Route, RoutingConfiguration } from './route.js';
import { RouteTable } from './routeTable.js';
import { WeightedSplit } from './weightedSplit.js';

/** Where a configuration was received from. */
export type ConfigurationSource = 'store' | 'peer';

/** Holds the routing configuration in force at this daemon; an older version never replaces it. */
export class RoutingManager {
  private configuration: RoutingConfiguration | undefined;

  private table = new RouteTable([]);

  private splits = new Map<Route, WeightedSplit>();

  private readonly listeners: ((configuration: RoutingConfiguration) => void)[] = [];

  constructor(
    private readonly random: RandomSource,
    private readonly logger: Logger,
  ) {}

  /** The configuration in force; undefined before the first one. */
  current(): RoutingConfiguration | undefined {
    return this.configuration;
  }

  /** Version in force; 0 before the first configuration. */
  version(): number {
    return this.configuration?.version ?? 0;
  }

  /** Calls `listener` after each change. */
  onChange(listener: (configuration: RoutingConfiguration) => void): void {
    this.listeners.push(listener);
  }

  /** Puts a configuration in force if it is newer than the present one. */
  applyIfNewer(configuration: RoutingConfiguration, source: ConfigurationSource): void {
    const before = this.version();
    if (configuration.version <= before) return;
    this.configuration = configuration;
    this.table = new RouteTable(configuration.routes);
    this.splits = new Map();
    this.logger.log('info', 'configuration in force', {
      version: configuration.version,
      before,
      source,
      routes: configuration.routes.length,
    });
    this.listeners.forEach((listener) => listener(configuration));
  }

  /** Whether the configuration in force names a service. */
  hasService(name: string): boolean {
    return this.configuration?.services.some((service) => service.name === name) ?? false;
  }

  /** The route that matches a request, or undefined. */
  match(host: string, path: string): Route | undefined {
    return this.table.match(host, path);
  }

  /** Service that receives the next request of a route; undefined when no share has weight. */
  serviceFor(route: Route): string | undefined {
    let split = this.splits.get(route);
    if (!split) {
      split = new WeightedSplit(route.shares, this.random.next());
      this.splits.set(route, split);
    }
    return split.next();
  }
}
