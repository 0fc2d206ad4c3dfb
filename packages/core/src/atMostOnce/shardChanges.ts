import { sendTable } from './handover.js';
import { mintKey } from '../calls/idempotencyKey.js';
import { AtMostOnceMethod, isAlive } from './homeLease.js';
import type { ShardContext } from './shardContext.js';
import type { ShardHome } from './shardHome.js';
import type { DaemonAddress, RecordSwap, ShardRecord, ShardState } from './shardRecord.js';
import { recordWithoutTable, takeOver } from './takeover.js';

/** Daemons that are probed in turn as the next deputy. */
const MAX_CANDIDATES = 3;

/** Makes all changes of shard records for a daemon, one at a time for each shard. */
export class ShardChanges {
  private readonly pending = new Map<number, Promise<void>>();

  constructor(private readonly context: ShardContext) {}

  /** Runs `change` unless another change of the shard is pending. */
  async runIfIdle(shard: number, change: () => Promise<void>): Promise<void> {
    if (this.pending.has(shard)) return;
    await this.run(shard, change);
  }

  /** Runs `change` after the pending changes of the shard. */
  async runWhenIdle(shard: number, change: () => Promise<void>): Promise<void> {
    while (this.pending.has(shard)) await this.pending.get(shard)?.catch(() => undefined);
    await this.run(shard, change);
  }

  /** Reads the record of a shard and applies it. */
  async readRecord(shard: number): Promise<void> {
    await this.applyRecordFrom(() =>
      this.context.records.read(shard).then((found) => found.unwrapOr(undefined)),
    );
  }

  /** Makes this daemon home of a shard that has no record. */
  async claim(shard: number): Promise<void> {
    const { self, placement, options } = this.context;
    const deputy = placement.deputyFor(self, []);
    // No key can have run in a shard without a record: records are never deleted.
    const first = { shards: options.shards, home: self, deputy, since: 0, handover: null };
    await this.swapOnce(shard, 0, first);
  }

  /**
   * Makes this daemon home in place of an earlier incarnation, which had the same address and port.
   */
  async replaceEarlierIncarnation({ shard, revision, record }: ShardState): Promise<void> {
    const { self, placement, options } = this.context;
    const deputy = placement.deputyFor(self, []);
    const next = recordWithoutTable(record, self, deputy, options.clock.date().getTime());
    await this.swapOnce(shard, revision, next);
  }

  /** Takes over a shard as its deputy. */
  async takeOver(shard: number): Promise<void> {
    const { localShards, records, self, placement, options } = this.context;
    const deputy = localShards.deputyOf(shard);
    const { clock } = options;
    const chooseDeputy = ({ home }: ShardRecord): DaemonAddress | null => {
      // The home has requested no lease for a whole lease time.
      placement.avoid(home.incarnation);
      return placement.deputyFor(self, []);
    };
    await this.applyRecordFrom(() => takeOver({ deputy, records, self, clock, chooseDeputy }));
  }

  /** Replaces the deputy of a shard; sets none when no candidate responds. */
  async replaceDeputy(home: ShardHome): Promise<void> {
    const { record } = home.state;
    const deputy = await this.findLiveDeputy(record.deputy ? [record.deputy.incarnation] : []);
    if (deputy || record.deputy) await this.swapAsHome(home, { ...record, deputy });
  }

  /** The first candidate that responds, or null. */
  private async findLiveDeputy(excluded: string[]): Promise<DaemonAddress | null> {
    const { self, placement, options } = this.context;
    const { peers, service, timing } = options;
    for (let tried = 0; tried < MAX_CANDIDATES; tried++) {
      const candidate = placement.deputyFor(self, excluded);
      if (!candidate) return null;
      if (await isAlive(peers, service, candidate, timing.homeLeaseIntervalMs)) return candidate;
      placement.avoid(candidate.incarnation);
    }
    return null;
  }

  /** Hands a shard and its outcome table over to another daemon. */
  async handOver(home: ShardHome, to: DaemonAddress, isLeaving: boolean): Promise<void> {
    const { placement, options, self } = this.context;
    const { record, shard, revision } = home.state;
    const { peers, service, shards: shardCount, clock, random, timing } = options;
    home.suspend();
    await this.drain(home);
    const handover = mintKey(clock, random);
    if (!(await sendTable(peers, to, { service, shardCount, shard, handover }, home.table))) {
      home.resume();
      return;
    }
    const deputy = placement.deputyFor(to, isLeaving ? [self.incarnation] : []);
    await this.swapAsHome(home, { ...record, home: to, deputy, handover });
    const address = { address: to.address, port: to.peerPort };
    await peers.call(
      address,
      AtMostOnceMethod.changed,
      { shard, revision },
      timing.homeLeaseIntervalMs,
    );
  }

  /** Waits for the running calls, at most `drainTimeoutMs`. */
  private async drain(home: ShardHome): Promise<void> {
    const { clock, timing } = this.context.options;
    const finished = new AbortController();
    const running = Promise.allSettled(home.table.runningCalls());
    const timeout = clock.sleep(timing.drainTimeoutMs, finished.signal).catch(() => undefined);
    await Promise.race([running, timeout]);
    finished.abort();
  }

  /** Swaps the record of a shard that this daemon is home of; no call begins meanwhile. */
  private async swapAsHome(home: ShardHome, next: ShardRecord): Promise<void> {
    const { shard, revision } = home.state;
    home.suspend();
    await this.applyRecordFrom(async () => {
      const swap = await this.swapUntilCertain(shard, revision, next);
      if (swap.outcome === 'notApplied') home.resume();
      return 'state' in swap ? swap.state : undefined;
    });
  }

  /**
   * Retries a swap until its result is certain; `unknown` only when the daemon stops before that.
   */
  private async swapUntilCertain(
    shard: number,
    expected: number,
    next: ShardRecord,
  ): Promise<RecordSwap> {
    const { records, tasks, options } = this.context;
    let isUncertain = false;
    for (;;) {
      const swap = await records.swap(shard, expected, next);
      if ('state' in swap) return swap;
      // An earlier swap that may take effect late is ruled out only once the revision has changed.
      if (swap.outcome === 'unknown') isUncertain = true;
      else if (!isUncertain) return swap;
      await tasks.sleep(options.timing.homeLeaseIntervalMs);
      if (tasks.stopped) return { outcome: 'unknown' };
    }
  }

  private async swapOnce(shard: number, expected: number, next: ShardRecord): Promise<void> {
    await this.applyRecordFrom(async () => {
      const swap = await this.context.records.swap(shard, expected, next);
      return 'state' in swap ? swap.state : undefined;
    });
  }

  /** Applies the record that `readState` returns, if any. */
  private async applyRecordFrom(readState: () => Promise<ShardState | undefined>): Promise<void> {
    const state = await readState();
    if (state && !this.context.tasks.stopped) this.context.localShards.applyRecord(state);
  }

  private async run(shard: number, change: () => Promise<void>): Promise<void> {
    const running = change().finally(() => this.pending.delete(shard));
    this.pending.set(shard, running);
    await running;
  }
}
