import { DeputyChoice } from './deputyChoice.js';
import { stagedTableSchema } from './handover.js';
import { elapsedSince, readInstant } from './atMostOnceTiming.js';
import type { Instant } from './atMostOnceTiming.js';
import { AtMostOnceMethod, homeLeaseRequestSchema, shardRevisionSchema } from './homeLease.js';
import { HomeLeaseExchange } from './homeLeaseExchange.js';
import { RecordRefresh } from './recordRefresh.js';
import { LocalShards } from './localShards.js';
import type { ShardContext, ShardManagerOptions } from './shardContext.js';
import type { ShardHome } from './shardHome.js';
import { ShardMoves } from './shardMoves.js';
import { ShardRecords, holderOf } from './shardRecord.js';
import { Semaphore } from '../admission/semaphore.js';
import { TaskGroup } from '../runtime/taskGroup.js';

/** Unplanned changes of records that a daemon makes at once, so that a lost data centre does not flood the store. */
const UNPLANNED_MOVES = 2;

/** Daemons that a leaving home offers a shard to, one after the other. */
const MAX_SUCCESSORS = 3;

/** Looks after the shards of one service at one daemon. */
export class ShardManager {
  readonly localShards: LocalShards;

  private readonly context: ShardContext;

  private readonly pledges: HomeLeaseExchange;

  private readonly moves: ShardMoves;

  private readonly refresh: RecordRefresh;

  private readonly unplanned = new Semaphore(UNPLANNED_MOVES);

  private leaving = false;

  private lastTick: Instant | undefined;

  constructor(private readonly options: ShardManagerOptions) {
    const { self: member, service, directory, clock, store, logger } = options;
    const self = holderOf(member);
    const onHome = (home: ShardHome): void => {
      this.context.tasks.spawn(() => this.pledges.ask([home]));
    };
    this.localShards = new LocalShards({ ...options, self, onHome });
    this.context = {
      options,
      self,
      localShards: this.localShards,
      records: new ShardRecords(store, service),
      choice: new DeputyChoice(member, service, directory, clock),
      tasks: new TaskGroup(clock, logger),
    };
    this.pledges = new HomeLeaseExchange(this.context);
    this.moves = new ShardMoves(this.context);
    this.refresh = new RecordRefresh(this.context, this.moves);
    this.registerMethods();
  }

  /** Begins to look after the shards. */
  start(): void {
    const { tasks } = this.context;
    tasks.spawn(async () => {
      while (!tasks.stopped) {
        this.tick();
        await tasks.sleep(this.options.timing.pledgeIntervalMs);
      }
    });
  }

  /** Hands every shard to another daemon; gives up after a while, as when the store is down. */
  async leave(): Promise<void> {
    this.leaving = true;
    const { clock, timing } = this.options;
    const left = new AbortController();
    const homes = [...this.localShards.homes.values()];
    const handovers = Promise.all(homes.map((home) => this.giveAway(home)));
    const patience = clock.sleep(timing.leaveMs, left.signal).catch(() => undefined);
    await Promise.race([handovers, patience]);
    left.abort();
  }

  /** Ends everything; what was begun at the target goes on. */
  async stop(): Promise<void> {
    this.leaving = true;
    this.localShards.loseAll();
    await this.context.tasks.stop();
  }

  private registerMethods(): void {
    const { methods, service, shards } = this.options;
    methods.register(AtMostOnceMethod.pledge, async (params) =>
      this.pledges.answer(homeLeaseRequestSchema.parse(params)),
    );
    methods.register(AtMostOnceMethod.stage, async (params) => {
      const table = stagedTableSchema.parse(params);
      const sameSplit = table.service === service && table.shardCount === shards;
      const meant = table.to === this.context.self.incarnation && sameSplit;
      return meant && !this.leaving && this.localShards.stage(table);
    });
    methods.register(AtMostOnceMethod.changed, async (params) => {
      const { shard } = shardRevisionSchema.parse(params);
      this.context.tasks.spawn(() => this.moves.readRecord(shard));
      return true;
    });
  }

  private tick(): void {
    const { tasks } = this.context;
    this.forgivePause();
    this.pledges.askAll();
    this.localShards.homes.forEach((home) => this.careForHome(home));
    this.localShards.deputyShards.forEach((shard) => this.careForDeputy(shard));
    this.localShards
      .stagedShards()
      .forEach((shard) => tasks.spawn(() => this.moves.readRecord(shard)));
    if (!this.leaving) tasks.spawn(() => this.refresh.refreshWhenDue());
  }

  /** After a pause of this daemon the silence of a deputy proves nothing. */
  private forgivePause(): void {
    const { clock, timing } = this.options;
    const last = this.lastTick;
    this.lastTick = readInstant(clock);
    if (!last || elapsedSince(clock, last) < 2 * timing.pledgeIntervalMs) return;
    this.localShards.homes.forEach((home) => home.forgiveSilence());
  }

  private careForHome(home: ShardHome): void {
    const { shard } = home.state;
    if (this.pledges.doubtedShards.delete(shard)) {
      this.context.tasks.spawn(() => this.moves.readRecord(shard));
    }
    if (this.leaving || !this.needsDeputy(home)) return;
    this.moveUnplanned(shard, async () => {
      const isHome = this.localShards.homes.get(shard) === home;
      if (isHome && this.needsDeputy(home)) await this.moves.replaceDeputy(home);
    });
  }

  private needsDeputy(home: ShardHome): boolean {
    const { choice, self } = this.context;
    const { deputy } = home.state.record;
    if (!deputy) return choice.deputyFor(self, []) !== null;
    if (home.deputySilenceMs() >= this.options.timing.deputyPatienceMs) {
      choice.avoid(deputy.incarnation);
      return true;
    }
    const state = this.options.directory.memberOf(deputy.incarnation)?.state;
    return state === 'draining' || state === 'gone';
  }

  private careForDeputy(shard: number): void {
    if (this.leaving || !this.localShards.deputyOf(shard).mayTakeOver()) return;
    this.moveUnplanned(shard, () => this.moves.takeOver(shard));
  }

  private moveUnplanned(shard: number, move: () => Promise<void>): void {
    this.context.tasks.spawn(() => this.moves.tryMove(shard, () => this.unplanned.run(move)));
  }

  private async giveAway(home: ShardHome): Promise<void> {
    const { shard } = home.state;
    const successors = this.context.choice.homesFor(shard, true).slice(0, MAX_SUCCESSORS);
    for (const successor of successors) {
      await this.moves.afterMove(shard, async () => {
        if (this.localShards.homes.get(shard) !== home) return;
        await this.moves.handOver(home, holderOf(successor), true);
      });
    }
  }
}
