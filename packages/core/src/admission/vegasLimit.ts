import { AdaptiveLimit } from './adaptiveLimit.js';
import type { LatencyRound } from './adaptiveLimit.js';

/** Share of the limit that may be queued inside the target before the limit stops growing. */
const MAX_QUEUED_SHARE = 0.1;
/** Number of calls that may be queued inside the target at any limit. */
const MIN_QUEUED = 1;

/** TCP Vegas: keeps the number of calls queued inside the target small and constant. */
export class VegasLimit extends AdaptiveLimit {
  // eslint-disable-next-line class-methods-use-this
  protected override nextLimit(round: LatencyRound): number {
    const queued = (round.limit * round.excessMs) / round.totalMs;
    const tolerated = Math.max(MIN_QUEUED, MAX_QUEUED_SHARE * round.limit);
    if (queued < tolerated) return round.limit + 1;
    if (queued > 2 * tolerated) return round.limit - (queued - tolerated);
    return round.limit;
  }
}
