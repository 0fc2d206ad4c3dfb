import type { Clock } from '../runtime/clock.js';
import type { AtMostOnceTiming } from './atMostOnceTiming.js';

/**
 * Result of the swap of a takeover: `decided` when the store applied it or found another
 * revision, `notApplied` when the store did not process it, `unknown` when it may still take effect.
 */
export type TakeoverResult = 'decided' | 'notApplied' | 'unknown';

/**
 * Deputy of one shard: grants home leases, and allows a takeover only after all of them expired.
 * Lives as long as the daemon, since a granted lease stays binding when the record changes.
 */
export class ShardDeputy {
  /**
   * Monotonic time until which no takeover may be sent. Starts with a full lease, as if granted.
   */
  protected leasedUntil: number;

  /** Latest revision for which a takeover was sent and may have had an effect; 0 for none. */
  protected takeoverRevision = 0;

  private isTakeoverUncertain = false;

  constructor(
    readonly shard: number,
    protected readonly timing: AtMostOnceTiming,
    protected readonly clock: Clock,
  ) {
    this.leasedUntil = this.newLeaseEnd();
  }

  /** Grants a home lease at `revision`; false if a takeover of it may have had an effect. */
  grantLease(revision: number): boolean {
    if (!this.canGrantLease(revision)) return false;
    this.leasedUntil = Math.max(this.leasedUntil, this.newLeaseEnd());
    return true;
  }

  /** True when every granted lease has expired. */
  canTakeOver(): boolean {
    return this.clock.now() >= this.leasedUntil;
  }

  /**
   * To be called before the swap of a takeover is sent; no lease is granted for `revision`
   * afterwards.
   */
  recordTakeoverSent(revision: number): void {
    if (revision !== this.takeoverRevision) this.isTakeoverUncertain = false;
    this.takeoverRevision = revision;
  }

  /**
   * Records the result of the swap; leases are granted again only if no swap can have an effect.
   */
  recordTakeoverResult(result: TakeoverResult): void {
    if (result === 'unknown') this.isTakeoverUncertain = true;
    if (result === 'notApplied' && !this.isTakeoverUncertain) this.takeoverRevision = 0;
  }

  /** False when a takeover sent for this revision may take effect while the lease is valid. */
  protected canGrantLease(revision: number): boolean {
    return revision > this.takeoverRevision;
  }

  private newLeaseEnd(): number {
    return this.clock.now() + this.timing.homeLeaseMs + this.timing.homeLeaseMarginMs;
  }
}

/** Creates a deputy. Tests substitute variants that drop a rule of the protocol. */
export type ShardDeputyFactory = (
  shard: number,
  timing: AtMostOnceTiming,
  clock: Clock,
) => ShardDeputy;

/** Creates the deputy used in production. */
export const createShardDeputy: ShardDeputyFactory = (shard, timing, clock) =>
  new ShardDeputy(shard, timing, clock);
