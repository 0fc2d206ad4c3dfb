/* eslint-disable max-classes-per-file -- each drops one rule of the protocol */
import { ShardDeputy, ShardHome, readClocks } from '@shallotcroft/core';
import type { ExecutionBounds, ClockReading } from '@shallotcroft/core';

/** Drops the rule that a home lease counts from its request, not from its response. */
export class StartsLeaseAtResponse extends ShardHome {
  protected override leaseStart(): ClockReading {
    return readClocks(this.clock);
  }
}

/** Drops the rule that the home checks its lease immediately before it sends a call. */
export class ChecksLeaseOnlyAtStart extends ShardHome {
  protected override executionBounds(): ExecutionBounds {
    const withinMs = this.beginWithinMs();
    return { beginWithinMs: () => withinMs };
  }
}

/** Drops the rule that the deputy takes over only after every granted lease has expired. */
export class TakesOverDuringLease extends ShardDeputy {
  // eslint-disable-next-line class-methods-use-this
  override canTakeOver(): boolean {
    return true;
  }
}

/** Drops the rule that no lease is granted while a takeover may still take effect. */
export class GrantsAfterUnansweredTakeover extends ShardDeputy {
  // eslint-disable-next-line class-methods-use-this
  protected override canGrantLease(): boolean {
    return true;
  }
}

/** Drops the rule that a home begins no call while its swap is pending. */
export class BeginsCallsDuringSwap extends ShardHome {
  // eslint-disable-next-line class-methods-use-this
  override suspend(): void {
    // Calls go on during the swap.
  }
}

/** Drops the rule that "not run" is reported only of keys that no later home can have run. */
export class ReportsNotRunWithoutProof extends ShardHome {
  // eslint-disable-next-line class-methods-use-this
  protected override isProvenNotRun(): boolean {
    return true;
  }
}
