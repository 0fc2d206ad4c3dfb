import { AdaptiveLimit } from './adaptiveLimit.js';
import type { LatencyRound } from './adaptiveLimit.js';

/** Share of a call's time spent queueing above which the limit is reduced. */
const MAX_QUEUEING_SHARE = 0.35;
/** Calls added to the limit in each round without excessive queueing. */
const ADDITIVE_INCREASE = 1;
/** Factor applied to the limit in each round with excessive queueing. */
const DECREASE_FACTOR = 0.85;

/** AIMD: additive increase while latency is near its floor, multiplicative decrease otherwise. */
export class AimdLimit extends AdaptiveLimit {
  // eslint-disable-next-line class-methods-use-this
  protected override nextLimit(round: LatencyRound): number {
    const isQueueing = round.excessMs > MAX_QUEUEING_SHARE * round.totalMs;
    return isQueueing ? round.limit * DECREASE_FACTOR : round.limit + ADDITIVE_INCREASE;
  }
}
