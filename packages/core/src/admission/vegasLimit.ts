import { AdaptiveLimit } from './adaptiveLimit.js';
import type { LatencyRound } from './adaptiveLimit.js';

/** Share of the limit that may queue at the target before the limit stops growing. */
const QUEUE_SHARE = 0.1;
const MIN_QUEUE = 1;

/** Keeps the number of calls that queue inside the target small and constant. */
export class VegasLimit extends AdaptiveLimit {
  // eslint-disable-next-line class-methods-use-this
  protected override next(round: LatencyRound): number {
    const queued = (round.limit * round.excessMs) / round.totalMs;
    const few = Math.max(MIN_QUEUE, QUEUE_SHARE * round.limit);
    if (queued < few) return round.limit + 1;
    if (queued > 2 * few) return round.limit - (queued - few);
    return round.limit;
  }
}
