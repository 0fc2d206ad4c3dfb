import { AdaptiveLimit } from './adaptiveLimit.js';
import type { LatencyRound } from './adaptiveLimit.js';

/** Factor on the latency floor up to which latency does not reduce the limit. */
const LATENCY_TOLERANCE = 1.1;
/** Lowest gradient of one round. */
const MIN_GRADIENT = 0.5;
/** Weight of the newest round in the smoothed limit. */
const SMOOTHING_WEIGHT = 0.3;

/** Scales the limit by the ratio of latency floor to latency, plus headroom for a short queue. */
export class GradientLimit extends AdaptiveLimit {
  // eslint-disable-next-line class-methods-use-this
  protected override nextLimit(round: LatencyRound): number {
    const ratio = (LATENCY_TOLERANCE * (round.totalMs - round.excessMs)) / round.totalMs;
    const gradient = Math.min(1, Math.max(MIN_GRADIENT, ratio));
    const target = round.limit * gradient + Math.sqrt(round.limit);
    return round.limit + SMOOTHING_WEIGHT * (target - round.limit);
  }
}
