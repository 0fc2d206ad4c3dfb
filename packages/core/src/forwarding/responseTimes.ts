/** Weight of the newest sample in the moving averages. */
const NEWEST_WEIGHT = 0.05;
/** Deviation that is assumed after the first sample, as a share of it. */
const INITIAL_DEVIATION_SHARE = 0.25;
/** Deviations above the mean that nearly all responses stay below. */
const DEVIATIONS_ABOVE_MEAN = 4;
/** Largest number of routes that are tracked. */
const MAX_ROUTES = 2000;

interface TimeEstimate {
  meanMs: number;
  /** Mean of the absolute differences from the mean, in milliseconds. */
  deviationMs: number;
}

/** Moving averages of response times by route, in milliseconds. */
export class ResponseTimes {
  private readonly routes = new Map<string, TimeEstimate>();

  /** Adds the time of a response. */
  record(route: string, elapsedMs: number): void {
    const known = this.routes.get(route);
    if (known) {
      const difference = elapsedMs - known.meanMs;
      known.meanMs += NEWEST_WEIGHT * difference;
      known.deviationMs += NEWEST_WEIGHT * (Math.abs(difference) - known.deviationMs);
      return;
    }
    // Bounds the map: routes that were removed from the configuration stay in it.
    if (this.routes.size >= MAX_ROUTES) this.routes.clear();
    this.routes.set(route, {
      meanMs: elapsedMs,
      deviationMs: INITIAL_DEVIATION_SHARE * elapsedMs,
    });
  }

  /** Mean time of a route; undefined before its first response. */
  meanOf(route: string): number | undefined {
    return this.routes.get(route)?.meanMs;
  }

  /** Time that nearly all responses of a route stay below; undefined before the first response. */
  highOf(route: string): number | undefined {
    const known = this.routes.get(route);
    return known && known.meanMs + DEVIATIONS_ABOVE_MEAN * known.deviationMs;
  }
}
