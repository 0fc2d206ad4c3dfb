import type { ShardContext } from './shardContext.js';
import type { ShardMoves } from './shardMoves.js';
import { holderOf } from './shardRecord.js';
import type { ShardState } from './shardRecord.js';

const RETRY_MS = 5000;
const SETTLE_MS = 3000;

/** Reads all records of the service now and then, and puts right what they show. */
export class RecordRefresh {
  private dueAt = -Infinity;

  private running = false;

  private signature: string | undefined;

  constructor(
    private readonly context: ShardContext,
    private readonly moves: ShardMoves,
  ) {}

  /** Refreshes when it is time, or a while after the members of the service have changed. */
  async refreshWhenDue(): Promise<void> {
    this.noticeChange();
    const { clock } = this.context.options;
    if (this.running || clock.now() < this.dueAt) return;
    this.running = true;
    try {
      const complete = await this.refresh();
      const { refreshMs } = this.context.options.timing;
      this.dueAt = clock.now() + (complete ? refreshMs : RETRY_MS) * this.jitter();
    } finally {
      this.running = false;
    }
  }

  /** From half to one and a half. */
  private jitter(): number {
    return 0.5 + this.context.options.random.next();
  }

  private noticeChange(): void {
    const signature = this.context.choice.signature();
    if (signature === this.signature) return;
    const first = this.signature === undefined;
    this.signature = signature;
    if (first) return;
    const { clock, random, timing } = this.context.options;
    const soon = clock.now() + SETTLE_MS + random.next() * timing.refreshSpreadMs;
    this.dueAt = Math.min(this.dueAt, soon);
  }

  /** True when every shard has a record. */
  private async refresh(): Promise<boolean> {
    const { records, localShards, options } = this.context;
    const listed = await records.list();
    if (listed.isErr()) return false;
    listed.value.forEach((state) => localShards.observe(state));
    await this.claimFree();
    for (const state of listed.value) await this.succeed(state);
    await this.rebalance();
    return localShards.states.size >= options.shards;
  }

  private async claimFree(): Promise<void> {
    const { localShards, choice, self, options } = this.context;
    // Whoever claims the first shard settles the number of shards for all.
    if (!localShards.states.has(0)) await this.moves.tryMove(0, () => this.moves.claim(0));
    if (localShards.states.get(0)?.record.shards !== options.shards) return;
    for (let shard = 1; shard < options.shards; shard++) {
      const wanted = choice.homesFor(shard)[0]?.incarnation === self.incarnation;
      if (wanted && !localShards.states.has(shard)) {
        await this.moves.tryMove(shard, () => this.moves.claim(shard));
      }
    }
  }

  private async succeed(state: ShardState): Promise<void> {
    const { home } = state.record;
    const { self } = this.context;
    const samePlace = home.address === self.address && home.peerPort === self.peerPort;
    if (!samePlace || home.incarnation === self.incarnation) return;
    await this.moves.tryMove(state.shard, () => this.moves.succeed(state));
  }

  /** Hands over the shards that another daemon should be home of, so that they are spread evenly. */
  private async rebalance(): Promise<void> {
    const { localShards, choice, self, tasks } = this.context;
    for (const home of [...localShards.homes.values()]) {
      const wanted = choice.homesFor(home.state.shard)[0];
      const here = !wanted || wanted.incarnation === self.incarnation;
      if (!here && !tasks.stopped && home.isServing()) {
        const move = (): Promise<void> => this.moves.handOver(home, holderOf(wanted), false);
        await this.moves.tryMove(home.state.shard, move);
      }
    }
  }
}
