import { ConcurrencyLimit } from './concurrencyLimit.js';
import type { LimitSample } from './concurrencyLimit.js';
import { LatencyFloor } from './latencyFloor.js';
import { RoundSums } from './roundSums.js';

/** Bounds of an adaptive limit, in calls. */
export interface LimitBounds {
  initial: number;
  /** The ramp after a cold start doubles the limit each round up to this value. */
  rampCeiling: number;
  minimum: number;
  maximum: number;
}

/** Mean latencies of one round. A round has about as many calls as the limit. */
export interface LatencyRound {
  limit: number;
  /** Mean time at the target, in milliseconds. */
  totalMs: number;
  /** Mean self time of the target (without its child calls) above the floor, in milliseconds. */
  excessMs: number;
}

/** Smallest number of samples in a round that ends before `MAX_ROUND_MS`. */
const MIN_ROUND_CALLS = 4;
/** Longest duration of a round that has a sample, in milliseconds. */
const MAX_ROUND_MS = 1000;
/** Share of the limit that must have been in use in a round for the limit to grow. */
const MIN_UTILISATION = 0.8;
/** Share of a round's latency spent queueing above which the ramp ends. */
const MAX_RAMP_QUEUEING_SHARE = 0.3;
/** Lowest factor by which one round may reduce the limit. */
const MIN_REDUCTION_FACTOR = 0.5;
/** A failed call is sampled if its self time exceeds this multiple of the floor. */
const SLOW_FAILURE_FACTOR = 2;
/** If more than this share of the latency remains at half the limit, calls were not queueing. */
const UNCHANGED_LATENCY_SHARE = 0.75;
/** Share of the limit that is in force during a probing round, which measures the floor again. */
const PROBE_LIMIT_SHARE = 0.7;

/** Limit and self time where the present series of reductions began. */
interface LimitReduction {
  fromLimit: number;
  selfMs: number;
}

/**
 * A limit derived from the measured latency relative to its recent floor, and from the target's own
 * refusals. It ramps up after a cold start and grows only while it is used. Probing rounds at a
 * reduced limit measure the floor again, because the latency of a standing queue would otherwise
 * become the floor.
 */
export abstract class AdaptiveLimit extends ConcurrencyLimit {
  private readonly floor = new LatencyFloor();

  private limit: number;

  private isRamping = true;

  private isProbing = false;

  private reduction: LimitReduction | undefined;

  private round: RoundSums | undefined;

  /** When `current()` last changed, on the monotonic clock, in milliseconds. */
  private limitChangedAt = -Infinity;

  constructor(private readonly bounds: LimitBounds) {
    super();
    this.limit = this.clamp(bounds.initial);
  }

  /** Computes the next limit from a round without refusals of the target. */
  protected abstract nextLimit(round: LatencyRound): number;

  override current(): number {
    const limit = this.isProbing ? this.limit * PROBE_LIMIT_SHARE : this.limit;
    return Math.max(this.bounds.minimum, Math.floor(limit));
  }

  override baseLimit(): number {
    return Math.floor(this.limit);
  }

  override observe(sample: LimitSample): void {
    this.round ??= new RoundSums(sample.at);
    this.round.peakInFlight = Math.max(this.round.peakInFlight, sample.inFlight);
    if (sample.outcome === 'targetRefused') this.round.targetRefusals += 1;
    else if (this.isUsable(sample)) this.round.add(sample);
    const before = this.current();
    if (this.isRoundOver(this.round, sample.at)) this.endRound(this.round, sample.at);
    if (this.current() !== before) this.limitChangedAt = sample.at;
  }

  /**
   * Excludes calls that began under another limit, and fast failures, which say nothing about the
   * target's queue. The time of a slow failure is a lower bound of the latency, so it is included.
   */
  private isUsable(sample: LimitSample): boolean {
    if (sample.at - sample.totalMs < this.limitChangedAt) return false;
    if (sample.outcome === 'completed') return true;
    return sample.selfMs > SLOW_FAILURE_FACTOR * this.floor.current();
  }

  private isRoundOver(round: RoundSums, now: number): boolean {
    const samples = round.calls + round.targetRefusals;
    if (samples >= Math.max(MIN_ROUND_CALLS, this.current())) return true;
    return samples > 0 && now - round.startedAt >= MAX_ROUND_MS;
  }

  private endRound(round: RoundSums, now: number): void {
    this.round = undefined;
    if (round.targetRefusals > 0) {
      this.reduceForRefusals(round);
      return;
    }
    this.floor.observe(round.meanSelfMs());
    if (this.isProbing) {
      this.isProbing = false;
      return;
    }
    this.adjust(round);
    this.isProbing = this.floor.rotateWindow(now) && this.wasUtilised(round);
  }

  private reduceForRefusals(round: RoundSums): void {
    const refusedShare = round.targetRefusals / (round.calls + round.targetRefusals);
    this.isRamping = false;
    this.limit = this.clamp(this.limit * Math.max(MIN_REDUCTION_FACTOR, 1 - refusedShare));
  }

  private adjust(round: RoundSums): void {
    const totalMs = round.meanTotalMs();
    const excessMs = Math.max(0, round.meanSelfMs() - this.floor.current());
    const isQueueing = excessMs > MAX_RAMP_QUEUEING_SHARE * totalMs;
    if (isQueueing || this.limit >= this.bounds.rampCeiling) this.isRamping = false;
    const proposed = this.isRamping
      ? Math.min(this.limit * 2, this.bounds.rampCeiling)
      : this.nextLimit({ limit: this.limit, totalMs, excessMs });
    if (proposed > this.limit && !this.wasUtilised(round)) return;
    const before = this.limit;
    this.limit = this.clamp(Math.max(proposed, before * MIN_REDUCTION_FACTOR));
    this.detectFloorChange(before, round.meanSelfMs());
  }

  /**
   * Reducing the limit shortens a queue and so the latency. If the latency stays about the same at
   * half the limit, the target itself became slower: its latency is the new floor, and the limit
   * from before the reductions is restored.
   */
  private detectFloorChange(before: number, selfMs: number): void {
    if (this.limit > before) {
      this.reduction = undefined;
      return;
    }
    if (this.limit < before) this.reduction ??= { fromLimit: before, selfMs };
    if (!this.reduction) return;
    const isHalved = before <= Math.max(this.reduction.fromLimit / 2, this.bounds.minimum);
    if (!isHalved) return;
    const isUnchanged = selfMs > UNCHANGED_LATENCY_SHARE * this.reduction.selfMs;
    if (isUnchanged) {
      this.floor.reset(selfMs);
      this.limit = this.clamp(this.reduction.fromLimit);
    }
    this.reduction = this.limit < before ? { fromLimit: before, selfMs } : undefined;
  }

  private wasUtilised(round: RoundSums): boolean {
    return round.peakInFlight >= MIN_UTILISATION * Math.floor(this.limit);
  }

  private clamp(limit: number): number {
    return Math.min(this.bounds.maximum, Math.max(this.bounds.minimum, limit));
  }
}
