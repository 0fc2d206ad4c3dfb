import { importances } from '../configuration/configuration.js';
import type { Importance } from '../configuration/configuration.js';

/** Number of priorities within one importance; callers are spread over them by hash. */
export const PRIORITIES_PER_IMPORTANCE = 128;

/** Number of priorities. Higher priorities are shed later; a shed level of 0 sheds no call. */
export const PRIORITY_COUNT = importances.length * PRIORITIES_PER_IMPORTANCE;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** FNV-1a with a final mix, which spreads names that differ only in their last letter. */
function hashOf(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  return (hash ^ (hash >>> 13)) >>> 0;
}

/** Priority of a call: its importance, then the hash of the root caller. Same at every hop. */
export function priorityOf(importance: Importance, caller: string): number {
  const rank = importances.length - 1 - importances.indexOf(importance);
  return rank * PRIORITIES_PER_IMPORTANCE + (hashOf(caller) % PRIORITIES_PER_IMPORTANCE);
}

/** Load of the target since the last step of the level. */
export interface TargetLoadSample {
  /** Number of calls queued now. */
  queued: number;
  /** Capacity of the admission queue. */
  queueCapacity: number;
  /** Number of calls admitted to the target. */
  admitted: number;
  /** Number of calls rejected because of overload. */
  shed: number;
  /** Calls in flight as a share of the concurrency limit. */
  utilisation: number;
}

/** Parameters that control how fast the shed level follows the load. */
export interface ShedLevelTuning {
  /** Priorities by which the level falls in the first step; doubles with each further step. */
  initialDecrease: number;
  /** Most priorities by which the level falls in one step. */
  maxDecrease: number;
  /**
   * Factor from headroom to the priorities by which the level may fall in one step. Headroom
   * `h`, as a share of the present arrivals, allows `h * (1 + h)` times this factor.
   */
  decreasePerHeadroom: number;
  /** Share of the queue capacity in use above which the level rises. */
  highQueueShare: number;
  /** Share of the queue capacity in use below which the level falls. */
  lowQueueShare: number;
}

/** Factor applied to the arrival counts of all priorities at each step. */
const ARRIVAL_DECAY = 0.7;
/** Number of steps over which the queue length is corrected to the middle of its band. */
const CORRECTION_STEPS = 3;
/** Smallest share of the arrivals that remains above the level after one step. */
const MIN_REMAINING_SHARE = 0.15;

/**
 * Controls the shed level: the priority below which callers should not send. Under overload it
 * rises until the recent arrivals above it match the target's throughput; while there is headroom
 * it falls in steps that double.
 */
export class ShedLevel {
  private level = 0;

  private nextDecrease: number;

  /** Arrivals since the last step with a priority at or above the level. */
  private arrivalCount = 0;

  /** Decayed count of arrivals by priority. */
  private readonly recentArrivals = new Float64Array(PRIORITY_COUNT);

  constructor(private tuning: ShedLevelTuning) {
    this.nextDecrease = tuning.initialDecrease;
  }

  /** The present level: calls of lower priority should not be sent. */
  current(): number {
    return this.level;
  }

  /** Replaces the control parameters. */
  setTuning(tuning: ShedLevelTuning): void {
    this.tuning = tuning;
  }

  /** Arrivals since the last step; those below the level, sent before it was known, don't count. */
  arrivals(): number {
    return this.arrivalCount;
  }

  /** Counts a call that requested admission. */
  countArrival(priority: number): void {
    this.recentArrivals[priority] = (this.recentArrivals[priority] ?? 0) + 1;
    if (priority >= this.level) this.arrivalCount += 1;
  }

  /** Adjusts the level to the load since the last step. */
  step(sample: TargetLoadSample): void {
    const queueShare = sample.queued / sample.queueCapacity;
    if (sample.shed > 0 || queueShare > this.tuning.highQueueShare) this.raise(sample);
    else if (queueShare < this.tuning.lowQueueShare && sample.utilisation < 1) this.lower(sample);
    else this.nextDecrease = this.tuning.initialDecrease;
    this.arrivalCount = 0;
    this.recentArrivals.forEach((count, priority) => {
      this.recentArrivals[priority] = count * ARRIVAL_DECAY;
    });
  }

  /** Ratio to the present arrivals that would bring the queue to the middle of its band. */
  private wantedArrivalRatio(sample: TargetLoadSample): number {
    if (this.arrivalCount === 0) return Infinity;
    const bandMiddle =
      ((this.tuning.highQueueShare + this.tuning.lowQueueShare) / 2) * sample.queueCapacity;
    const correction = (bandMiddle - sample.queued) / CORRECTION_STEPS;
    return (sample.admitted + correction) / this.arrivalCount;
  }

  private raise(sample: TargetLoadSample): void {
    this.nextDecrease = this.tuning.initialDecrease;
    let remainingArrivals = this.recentArrivalsFrom(this.level);
    const wantedArrivals =
      remainingArrivals * Math.max(MIN_REMAINING_SHARE, this.wantedArrivalRatio(sample));
    while (remainingArrivals > wantedArrivals && this.level < PRIORITY_COUNT - 1) {
      remainingArrivals -= this.recentArrivals[this.level] ?? 0;
      this.level += 1;
    }
  }

  private lower(sample: TargetLoadSample): void {
    const headroom = Math.max(this.wantedArrivalRatio(sample), 1 / sample.utilisation) - 1;
    if (headroom <= 0) {
      this.nextDecrease = this.tuning.initialDecrease;
      return;
    }
    const decrease = Math.min(
      this.nextDecrease,
      Math.max(1, Math.floor(headroom * (1 + headroom) * this.tuning.decreasePerHeadroom)),
    );
    this.level = Math.max(0, this.level - decrease);
    this.nextDecrease = Math.min(this.nextDecrease * 2, this.tuning.maxDecrease);
  }

  private recentArrivalsFrom(level: number): number {
    let sum = 0;
    for (let index = level; index < PRIORITY_COUNT; index++) sum += this.recentArrivals[index] ?? 0;
    return sum;
  }
}
