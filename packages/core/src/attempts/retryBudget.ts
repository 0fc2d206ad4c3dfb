import type { Clock } from '../runtime/clock.js';

/** Default share of the recent calls to a service that may be retried. */
export const RETRY_RATIO = 0.1;
/** Default number of retries allowed in addition to the share, for services with few calls. */
export const SPARE_RETRIES = 3;
/** Time constant of the exponential decay of the counts, in milliseconds. */
const DECAY_TIME_MS = 10_000;

/** Decayed counts of a service's calls and retries. */
interface RecentCounts {
  calls: number;
  retries: number;
  /** When the counts were last decayed, on the monotonic clock, in milliseconds. */
  decayedAt: number;
}

/** Limits the retries of one daemon to a share of its recent calls, for each service. */
export class RetryBudget {
  private readonly services = new Map<string, RecentCounts>();

  constructor(
    private readonly clock: Clock,
    private ratio: number = RETRY_RATIO,
    private spare: number = SPARE_RETRIES,
  ) {}

  /** Changes the share of the recent calls that may be retried. */
  setRatio(ratio: number): void {
    this.ratio = ratio;
  }

  /** Changes the number of retries allowed in addition to the share. */
  setSpare(spare: number): void {
    this.spare = spare;
  }

  /** Counts a first attempt. */
  recordCall(service: string): void {
    this.countsOf(service).calls += 1;
  }

  /**
   * Counts a retry if the service's budget allows it; false when it must not be made. `share` is
   * the part of the budget that calls of this importance may use; the rest is reserved for more
   * important ones.
   */
  tryRetry(service: string, share = 1): boolean {
    const counts = this.countsOf(service);
    if (counts.retries + 1 > share * (this.spare + this.ratio * counts.calls)) return false;
    counts.retries += 1;
    return true;
  }

  private countsOf(service: string): RecentCounts {
    const now = this.clock.now();
    let counts = this.services.get(service);
    if (!counts) {
      counts = { calls: 0, retries: 0, decayedAt: now };
      this.services.set(service, counts);
    }
    const decay = Math.exp((counts.decayedAt - now) / DECAY_TIME_MS);
    counts.calls *= decay;
    counts.retries *= decay;
    counts.decayedAt = now;
    return counts;
  }
}
