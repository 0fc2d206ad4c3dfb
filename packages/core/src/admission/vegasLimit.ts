import { AdaptiveLimit } from './adaptiveLimit.js';
import type { LatencyRound } from './adaptiveLimit.js';

/** Share of the limit queued inside the target at which the limit stops growing; falls at twice. */
const MAX_QUEUED_SHARE = 0.1;
/** Number of queued calls up to which the limit always grows. */
const MIN_QUEUED = 1;

/** As in TCP Vegas, keeps the calls queued inside the target between a bound and twice the bound. */
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
