import { AdaptiveLimit } from './adaptiveLimit.js';
import type { LatencyRound } from './adaptiveLimit.js';

/** Share of a call's time spent queueing from which the limit is cut. */
const TOLERATED_QUEUE_SHARE = 0.35;
const INCREASE = 1;
const DECREASE = 0.85;

/** Additive increase while latency is near its floor, multiplicative decrease when it is not. */
export class AimdLimit extends AdaptiveLimit {
  // eslint-disable-next-line class-methods-use-this
  protected override next(round: LatencyRound): number {
    const queueing = round.excessMs > TOLERATED_QUEUE_SHARE * round.totalMs;
    return queueing ? round.limit * DECREASE : round.limit + INCREASE;
  }
}
