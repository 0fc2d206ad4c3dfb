import type { ShardContext } from './shardContext.js';
import type { ShardChanges } from './shardChanges.js';
import { daemonAddressOf } from './shardRecord.js';
import type { ShardState } from './shardRecord.js';

/** Read interval while a shard has no record or the store fails. */
const RETRY_INTERVAL_MS = 5000;
/** Delay after a membership change, so that several changes lead to one read. */
const MEMBERSHIP_SETTLE_MS = 3000;

/**
 * Reads all shard records of the service periodically; claims shards without a record, replaces
 * earlier incarnations of this daemon as home, and rebalances homes.
 */
export class RecordRefresh {
  private dueAt = -Infinity;

  private isRunning = false;

  private signature: string | undefined;

  constructor(
    private readonly context: ShardContext,
    private readonly changes: ShardChanges,
  ) {}

  /** Refreshes when the interval is over, or some time after the members of the service changed. */
  async refreshWhenDue(): Promise<void> {
    this.scheduleAfterMembershipChange();
    const { clock } = this.context.options;
    if (this.isRunning || clock.now() < this.dueAt) return;
    this.isRunning = true;
    try {
      const isComplete = await this.refresh();
      const { refreshIntervalMs } = this.context.options.timing;
      this.dueAt =
        clock.now() + (isComplete ? refreshIntervalMs : RETRY_INTERVAL_MS) * this.jitter();
    } finally {
      this.isRunning = false;
    }
  }

  /** A factor from 0.5 to 1.5. */
  private jitter(): number {
    return 0.5 + this.context.options.random.next();
  }

  private scheduleAfterMembershipChange(): void {
    const signature = this.context.placement.candidatesSignature();
    if (signature === this.signature) return;
    const isFirst = this.signature === undefined;
    this.signature = signature;
    if (isFirst) return;
    const { clock, random, timing } = this.context.options;
    const soon = clock.now() + MEMBERSHIP_SETTLE_MS + random.next() * timing.refreshSpreadMs;
    this.dueAt = Math.min(this.dueAt, soon);
  }

  /** True when every shard has a record. */
  private async refresh(): Promise<boolean> {
    const { records, localShards, options } = this.context;
    const listed = await records.list();
    if (listed.isErr()) return false;
    listed.value.forEach((state) => localShards.applyRecord(state));
    await this.claimMissing();
    for (const state of listed.value) await this.replaceEarlierIncarnation(state);
    await this.rebalance();
    return localShards.states.size >= options.shards;
  }

  private async claimMissing(): Promise<void> {
    const { localShards, placement, self, options } = this.context;
    // The record of shard 0 determines the number of shards for all daemons of the service.
    if (!localShards.states.has(0)) await this.changes.runIfIdle(0, () => this.changes.claim(0));
    if (localShards.states.get(0)?.record.shards !== options.shards) return;
    for (let shard = 1; shard < options.shards; shard++) {
      const isPreferredHome =
        placement.homeCandidatesFor(shard)[0]?.incarnation === self.incarnation;
      if (isPreferredHome && !localShards.states.has(shard)) {
        await this.changes.runIfIdle(shard, () => this.changes.claim(shard));
      }
    }
  }

  private async replaceEarlierIncarnation(state: ShardState): Promise<void> {
    const { home } = state.record;
    const { self } = this.context;
    const isSameAddress = home.address === self.address && home.peerPort === self.peerPort;
    if (!isSameAddress || home.incarnation === self.incarnation) return;
    await this.changes.runIfIdle(state.shard, () => this.changes.replaceEarlierIncarnation(state));
  }

  /** Hands shards over to their preferred homes, so that shards are spread evenly. */
  private async rebalance(): Promise<void> {
    const { localShards, placement, self, tasks } = this.context;
    for (const home of [...localShards.homes.values()]) {
      const preferred = placement.homeCandidatesFor(home.state.shard)[0];
      const isPreferredHome = !preferred || preferred.incarnation === self.incarnation;
      if (!isPreferredHome && !tasks.stopped && home.isServing()) {
        const handOver = (): Promise<void> =>
          this.changes.handOver(home, daemonAddressOf(preferred), false);
        await this.changes.runIfIdle(home.state.shard, handOver);
      }
    }
  }
}
