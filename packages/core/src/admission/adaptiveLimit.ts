import { ConcurrencyLimit } from './concurrencyLimit.js';
import type { LimitSample } from './concurrencyLimit.js';
import { LatencyFloor } from './latencyFloor.js';
import { RoundSums } from '../attempts/roundSums.js';

/** Bounds of an adaptive limit. */
export interface LimitBounds {
  initial: number;
  /** Up to here a cold start doubles the limit. */
  rampTo: number;
  minimum: number;
  maximum: number;
}

/** Averages over one round, which is about as many calls as the limit. */
export interface LatencyRound {
  limit: number;
  /** Mean time at the target, in milliseconds. */
  totalMs: number;
  /** Mean time above the floor that the target itself took, in milliseconds. */
  excessMs: number;
}

const MIN_ROUND_CALLS = 4;
const MAX_ROUND_MS = 1000;
/** Share of the limit that must have been in use before it may grow. */
const USED_SHARE = 0.8;
/** Share of a round's latency spent queueing that ends the ramp. */
const RAMP_QUEUE_SHARE = 0.3;
/** Largest cut in one round. */
const MAX_CUT = 0.5;
/** A call that failed counts as slow from this multiple of the floor. */
const SLOW_FAILURE = 2;
/** A halved limit that keeps this share of the latency was not queueing. */
const UNCHANGED_LATENCY_SHARE = 0.75;
/** Share of the limit at which the floor is measured again, for one round. */
const PROBE_SHARE = 0.7;

interface Descent {
  fromLimit: number;
  ownMs: number;
}

/**
 * A limit found from measured latency against its recent floor, and from the target's refusals.
 * It ramps from a cold start, does not grow while it is not used, and measures the floor again at
 * less than the limit now and then, so that a standing queue is not taken for the floor.
 */
export abstract class AdaptiveLimit extends ConcurrencyLimit {
  private readonly floor = new LatencyFloor();

  private limit: number;

  private ramping = true;

  private probing = false;

  private descent: Descent | undefined;

  private round: RoundSums | undefined;

  private changedAt = -Infinity;

  constructor(private readonly bounds: LimitBounds) {
    super();
    this.limit = this.clamp(bounds.initial);
  }

  /** The limit that follows from a round without refusals. */
  protected abstract next(round: LatencyRound): number;

  override current(): number {
    const limit = this.probing ? this.limit * PROBE_SHARE : this.limit;
    return Math.max(this.bounds.minimum, Math.floor(limit));
  }

  override settled(): number {
    return Math.floor(this.limit);
  }

  override observe(sample: LimitSample): void {
    this.round ??= new RoundSums(sample.at);
    this.round.peakInFlight = Math.max(this.round.peakInFlight, sample.inFlight);
    if (sample.outcome === 'targetRefused') this.round.refusals += 1;
    else if (this.counts(sample)) this.round.add(sample);
    const before = this.current();
    if (this.roundIsOver(this.round, sample.at)) this.endRound(this.round, sample.at);
    if (this.current() !== before) this.changedAt = sample.at;
  }

  /**
   * A call that began under another limit says nothing of this one, and a quick failure nothing of
   * the target's queue; a slow failure is at least that slow.
   */
  private counts(sample: LimitSample): boolean {
    if (sample.at - sample.totalMs < this.changedAt) return false;
    if (sample.outcome === 'completed') return true;
    return sample.ownMs > SLOW_FAILURE * this.floor.current();
  }

  private roundIsOver(round: RoundSums, now: number): boolean {
    const seen = round.calls + round.refusals;
    if (seen >= Math.max(MIN_ROUND_CALLS, this.current())) return true;
    return seen > 0 && now - round.startedAt >= MAX_ROUND_MS;
  }

  private endRound(round: RoundSums, now: number): void {
    this.round = undefined;
    if (round.refusals > 0) {
      this.cutForRefusals(round);
      return;
    }
    this.floor.observe(round.meanOwnMs());
    if (this.probing) {
      this.probing = false;
      return;
    }
    this.adjust(round);
    this.probing = this.floor.turnWindow(now) && this.wasUsed(round);
  }

  private cutForRefusals(round: RoundSums): void {
    const refusedShare = round.refusals / (round.calls + round.refusals);
    this.ramping = false;
    this.limit = this.clamp(this.limit * Math.max(MAX_CUT, 1 - refusedShare));
  }

  private adjust(round: RoundSums): void {
    const totalMs = round.meanTotalMs();
    const excessMs = Math.max(0, round.meanOwnMs() - this.floor.current());
    const queueing = excessMs > RAMP_QUEUE_SHARE * totalMs;
    if (queueing || this.limit >= this.bounds.rampTo) this.ramping = false;
    const proposed = this.ramping
      ? Math.min(this.limit * 2, this.bounds.rampTo)
      : this.next({ limit: this.limit, totalMs, excessMs });
    if (proposed > this.limit && !this.wasUsed(round)) return;
    const before = this.limit;
    this.limit = this.clamp(Math.max(proposed, before * MAX_CUT));
    this.checkDescent(before, round.meanOwnMs());
  }

  /** A queue shrinks with the limit. Latency that stays as it was is the target's new floor. */
  private checkDescent(before: number, ownMs: number): void {
    if (this.limit > before) {
      this.descent = undefined;
      return;
    }
    if (this.limit < before) this.descent ??= { fromLimit: before, ownMs };
    if (!this.descent) return;
    const halved = before <= Math.max(this.descent.fromLimit / 2, this.bounds.minimum);
    if (!halved) return;
    const unchanged = ownMs > UNCHANGED_LATENCY_SHARE * this.descent.ownMs;
    if (unchanged) {
      this.floor.relearn(ownMs);
      this.limit = this.clamp(this.descent.fromLimit);
    }
    this.descent = this.limit < before ? { fromLimit: before, ownMs } : undefined;
  }

  private wasUsed(round: RoundSums): boolean {
    return round.peakInFlight >= USED_SHARE * Math.floor(this.limit);
  }

  private clamp(limit: number): number {
    return Math.min(this.bounds.maximum, Math.max(this.bounds.minimum, limit));
  }
}
