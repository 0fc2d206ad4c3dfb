import { sendTable } from './handover.js';
import { mintKey } from '../calls/idempotencyKey.js';
import { AtMostOnceMethod, isAlive } from './homeLease.js';
import type { ShardContext } from './shardContext.js';
import type { ShardHome } from './shardHome.js';
import type { Holder, RecordSwap, ShardRecord, ShardState } from './shardRecord.js';
import { recordWithoutTable, takeOver } from './takeover.js';

/** Daemons that are asked, one after the other, whether they can be deputy. */
const MAX_CANDIDATES = 3;

/** Every change of a shard record that a daemon makes; one at a time for each shard. */
export class ShardMoves {
  private readonly underWay = new Map<number, Promise<void>>();

  constructor(private readonly context: ShardContext) {}

  /** Runs `move` unless another move of the shard is under way. */
  async tryMove(shard: number, move: () => Promise<void>): Promise<void> {
    if (this.underWay.has(shard)) return;
    await this.run(shard, move);
  }

  /** Runs `move` after the move of the shard that is under way. */
  async afterMove(shard: number, move: () => Promise<void>): Promise<void> {
    while (this.underWay.has(shard)) await this.underWay.get(shard)?.catch(() => undefined);
    await this.run(shard, move);
  }

  /** Reads the record of a shard. */
  async readRecord(shard: number): Promise<void> {
    await this.observing(() =>
      this.context.records.read(shard).then((found) => found.unwrapOr(undefined)),
    );
  }

  /** Makes this daemon home of a shard that never had one. */
  async claim(shard: number): Promise<void> {
    const { self, choice, options } = this.context;
    const deputy = choice.deputyFor(self, []);
    // No key can have run in a shard without a record: records are never deleted.
    const first = { shards: options.shards, home: self, deputy, since: 0, handover: null };
    await this.swapOnce(shard, 0, first);
  }

  /** Makes this daemon home of a shard whose home has ended: it listened where this one listens. */
  async succeed({ shard, revision, record }: ShardState): Promise<void> {
    const { self, choice, options } = this.context;
    const deputy = choice.deputyFor(self, []);
    const next = recordWithoutTable(record, self, deputy, options.clock.date().getTime());
    await this.swapOnce(shard, revision, next);
  }

  /** Takes a shard over as its deputy. */
  async takeOver(shard: number): Promise<void> {
    const { localShards, records, self, choice, options } = this.context;
    const deputy = localShards.deputyOf(shard);
    const { clock } = options;
    const chooseDeputy = ({ home }: ShardRecord): Holder | null => {
      // It was silent for as long as a pledge lasts.
      choice.avoid(home.incarnation);
      return choice.deputyFor(self, []);
    };
    await this.observing(() => takeOver({ deputy, records, self, clock, chooseDeputy }));
  }

  /** Names another deputy, or none when there is no other daemon. */
  async replaceDeputy(home: ShardHome): Promise<void> {
    const { record } = home.state;
    const deputy = await this.answeringDeputy(record.deputy ? [record.deputy.incarnation] : []);
    if (deputy || record.deputy) await this.ownSwap(home, { ...record, deputy });
  }

  /** The best deputy that answers now, or null. */
  private async answeringDeputy(excluded: string[]): Promise<Holder | null> {
    const { self, choice, options } = this.context;
    const { peers, service, timing } = options;
    for (let tried = 0; tried < MAX_CANDIDATES; tried++) {
      const candidate = choice.deputyFor(self, excluded);
      if (!candidate) return null;
      if (await isAlive(peers, service, candidate, timing.pledgeIntervalMs)) return candidate;
      choice.avoid(candidate.incarnation);
    }
    return null;
  }

  /** Gives a shard and its table to another daemon. */
  async handOver(home: ShardHome, to: Holder, leaving: boolean): Promise<void> {
    const { choice, options, self } = this.context;
    const { record, shard, revision } = home.state;
    const { peers, service, shards: shardCount, clock, random, timing } = options;
    home.suspend();
    await this.drain(home);
    const handover = mintKey(clock, random);
    if (!(await sendTable(peers, to, { service, shardCount, shard, handover }, home.table))) {
      home.resume();
      return;
    }
    const deputy = choice.deputyFor(to, leaving ? [self.incarnation] : []);
    await this.ownSwap(home, { ...record, home: to, deputy, handover });
    const address = { address: to.address, port: to.peerPort };
    await peers.call(
      address,
      AtMostOnceMethod.changed,
      { shard, revision },
      timing.pledgeIntervalMs,
    );
  }

  /** Waits a while for the calls that run. */
  private async drain(home: ShardHome): Promise<void> {
    const { clock, timing } = this.context.options;
    const ended = new AbortController();
    const running = Promise.allSettled(home.table.running());
    const patience = clock.sleep(timing.drainMs, ended.signal).catch(() => undefined);
    await Promise.race([running, patience]);
    ended.abort();
  }

  /** Swaps the record of a shard that this daemon is home of; nothing is begun meanwhile. */
  private async ownSwap(home: ShardHome, next: ShardRecord): Promise<void> {
    const { shard, revision } = home.state;
    home.suspend();
    await this.observing(async () => {
      const swap = await this.settle(shard, revision, next);
      if (swap.outcome === 'untouched') home.resume();
      return 'state' in swap ? swap.state : undefined;
    });
  }

  /** Swaps until it is certain what came of it; `unknown` only when the daemon stops before. */
  private async settle(shard: number, expected: number, next: ShardRecord): Promise<RecordSwap> {
    const { records, tasks, options } = this.context;
    let uncertain = false;
    for (;;) {
      const swap = await records.swap(shard, expected, next);
      if ('state' in swap) return swap;
      // One that may take effect late is settled only by a swap that moved the revision.
      if (swap.outcome === 'unknown') uncertain = true;
      else if (!uncertain) return swap;
      await tasks.sleep(options.timing.pledgeIntervalMs);
      if (tasks.stopped) return { outcome: 'unknown' };
    }
  }

  private async swapOnce(shard: number, expected: number, next: ShardRecord): Promise<void> {
    await this.observing(async () => {
      const swap = await this.context.records.swap(shard, expected, next);
      return 'state' in swap ? swap.state : undefined;
    });
  }

  /** Takes in the record that `request` brings. */
  private async observing(request: () => Promise<ShardState | undefined>): Promise<void> {
    const state = await request();
    if (state && !this.context.tasks.stopped) this.context.localShards.observe(state);
  }

  private async run(shard: number, move: () => Promise<void>): Promise<void> {
    const moving = move().finally(() => this.underWay.delete(shard));
    this.underWay.set(shard, moving);
    await moving;
  }
}
