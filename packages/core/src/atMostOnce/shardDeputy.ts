import type { Clock } from '../runtime/clock.js';
import type { AtMostOnceTiming } from './atMostOnceTiming.js';

/** How the swap of a takeover ended. */
export type TakeoverEnd = 'settled' | 'untouched' | 'unknown';

/** What a daemon has promised, as deputy of one shard. Kept for the life of the daemon. */
export class ShardDeputy {
  /** Monotonic time until which no takeover may be sent. */
  protected grantedUntil: number;

  /** Revision for which a takeover was sent that may yet take effect. */
  protected spentRevision = 0;

  private uncertain = false;

  constructor(
    readonly shard: number,
    protected readonly timing: AtMostOnceTiming,
    protected readonly clock: Clock,
  ) {
    this.grantedUntil = this.promiseEnd();
  }

  /** Pledges not to take over from the home at `revision`; false when that can't be promised. */
  grant(revision: number): boolean {
    if (!this.mayGrant(revision)) return false;
    this.grantedUntil = Math.max(this.grantedUntil, this.promiseEnd());
    return true;
  }

  /** True when every promise has surely lapsed. */
  mayTakeOver(): boolean {
    return this.clock.now() >= this.grantedUntil;
  }

  /** To be called before the swap of a takeover is sent: no promise for `revision` from here on. */
  takeoverSent(revision: number): void {
    if (revision !== this.spentRevision) this.uncertain = false;
    this.spentRevision = revision;
  }

  /** Notes how the swap ended; only one that surely did nothing allows promises again. */
  takeoverEnded(end: TakeoverEnd): void {
    if (end === 'unknown') this.uncertain = true;
    if (end === 'untouched' && !this.uncertain) this.spentRevision = 0;
  }

  /** A swap for this revision that may take effect late would break the promise. */
  protected mayGrant(revision: number): boolean {
    return revision > this.spentRevision;
  }

  private promiseEnd(): number {
    return this.clock.now() + this.timing.pledgeMs + this.timing.pledgeMarginMs;
  }
}

/** Makes deputies; tests pass in others, to show what each rule is for. */
export type ShardDeputyFactory = (
  shard: number,
  timing: AtMostOnceTiming,
  clock: Clock,
) => ShardDeputy;

/** Makes the deputies of production. */
export const createShardDeputy: ShardDeputyFactory = (shard, timing, clock) =>
  new ShardDeputy(shard, timing, clock);
