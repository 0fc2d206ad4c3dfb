/* eslint-disable max-classes-per-file -- each is one rule left out */
import { ShardDeputy, ShardHome, readClocks } from '@shallotcroft/core';
import type { ExecutionBounds, ClockReading } from '@shallotcroft/core';

export class CountsPledgeFromAnswer extends ShardHome {
  protected override leaseStart(): ClockReading {
    return readClocks(this.clock);
  }
}

export class DoesNotCheckBeforeSending extends ShardHome {
  protected override executionBounds(): ExecutionBounds {
    const withinMs = this.beginWithinMs();
    return { beginWithinMs: () => withinMs };
  }
}

export class DoesNotWaitOutPledges extends ShardDeputy {
  // eslint-disable-next-line class-methods-use-this
  override canTakeOver(): boolean {
    return true;
  }
}

export class GrantsAfterLostTakeover extends ShardDeputy {
  // eslint-disable-next-line class-methods-use-this
  protected override canGrantLease(): boolean {
    return true;
  }
}

export class GoesOnDuringOwnSwap extends ShardHome {
  // eslint-disable-next-line class-methods-use-this
  override suspend(): void {
    // Left out on purpose.
  }
}

export class ClaimsNotRunWithoutProof extends ShardHome {
  // eslint-disable-next-line class-methods-use-this
  protected override isProvenNotRun(): boolean {
    return true;
  }
}
