import { AdaptiveLimit } from './adaptiveLimit.js';
import type { LatencyRound } from './adaptiveLimit.js';

/** Latency above the floor that is not held against the target. */
const TOLERANCE = 1.1;
const MIN_GRADIENT = 0.5;
/** Weight of the newest round. */
const SMOOTHING = 0.3;

/** Scales the limit by the ratio of the floor to the latency, and leaves room for a short queue. */
export class GradientLimit extends AdaptiveLimit {
  // eslint-disable-next-line class-methods-use-this
  protected override next(round: LatencyRound): number {
    const ratio = (TOLERANCE * (round.totalMs - round.excessMs)) / round.totalMs;
    const gradient = Math.min(1, Math.max(MIN_GRADIENT, ratio));
    const target = round.limit * gradient + Math.sqrt(round.limit);
    return round.limit + SMOOTHING * (target - round.limit);
  }
}
