import type { Clock } from '../runtime/clock.js';

/** Share of recent calls to a service that may be retried. */
export const RETRY_RATIO = 0.1;
/** Retries that are allowed when there were few calls. */
export const SPARE_RETRIES = 3;
/** Time constant of the counts, in milliseconds. */
const WINDOW_MS = 10_000;

interface RecentCounts {
  calls: number;
  retries: number;
  countedAt: number;
}

/** Keeps the retries of one daemon to a share of its recent calls, for each service. */
export class RetryBudget {
  private readonly services = new Map<string, RecentCounts>();

  constructor(
    private readonly clock: Clock,
    private ratio: number = RETRY_RATIO,
    private spare: number = SPARE_RETRIES,
  ) {}

  /** Changes the share of the calls that may be retried. */
  setRatio(ratio: number): void {
    this.ratio = ratio;
  }

  /** Changes the retries that are allowed when there were few calls. */
  setSpare(spare: number): void {
    this.spare = spare;
  }

  /** Counts a first attempt. */
  recordCall(service: string): void {
    this.countsOf(service).calls += 1;
  }

  /**
   * Counts a retry if the service has room for it; false when it must not be made. `share` is the
   * part of the budget that this kind of call may use; the rest is kept for more important ones.
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
      counts = { calls: 0, retries: 0, countedAt: now };
      this.services.set(service, counts);
    }
    const kept = Math.exp((counts.countedAt - now) / WINDOW_MS);
    counts.calls *= kept;
    counts.retries *= kept;
    counts.countedAt = now;
    return counts;
  }
}
