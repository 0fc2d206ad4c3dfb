import { ShardPlacement } from './shardPlacement.js';
import { stagedTableSchema } from './handover.js';
import { elapsedSince, readClocks } from '../runtime/clockReading.js';
import type { ClockReading } from '../runtime/clockReading.js';
import { AtMostOnceMethod, homeLeaseRequestSchema, shardRevisionSchema } from './homeLease.js';
import { HomeLeaseExchange } from './homeLeaseExchange.js';
import { RecordRefresh } from './recordRefresh.js';
import { LocalShards } from './localShards.js';
import type { ShardContext, ShardManagerOptions } from './shardContext.js';
import type { ShardHome } from './shardHome.js';
import { ShardChanges } from './shardChanges.js';
import { ShardRecords, daemonAddressOf } from './shardRecord.js';
import { Semaphore } from '../admission/semaphore.js';
import { TaskGroup } from '../runtime/taskGroup.js';

/**
 * Limit of concurrent unplanned record changes per daemon, so that the loss of a data centre does not
 * flood the store.
 */
const MAX_UNPLANNED_CHANGES = 2;

/** Daemons that a leaving home tries in turn as the next home of a shard. */
const MAX_SUCCESSORS = 3;

/** Runs the at-most-once protocol for the shards of one service at one daemon. */
export class ShardManager {
  readonly localShards: LocalShards;

  private readonly context: ShardContext;

  private readonly leaseExchange: HomeLeaseExchange;

  private readonly changes: ShardChanges;

  private readonly refresh: RecordRefresh;

  private readonly unplannedChanges = new Semaphore(MAX_UNPLANNED_CHANGES);

  private isLeaving = false;

  private lastTick: ClockReading | undefined;

  constructor(private readonly options: ShardManagerOptions) {
    const { self: member, service, directory, clock, store, logger } = options;
    const self = daemonAddressOf(member);
    const onHome = (home: ShardHome): void => {
      this.context.tasks.spawn(() => this.leaseExchange.requestLeases([home]));
    };
    this.localShards = new LocalShards({ ...options, self, onHome });
    this.context = {
      options,
      self,
      localShards: this.localShards,
      records: new ShardRecords(store, service),
      placement: new ShardPlacement(member, service, directory, clock),
      tasks: new TaskGroup(clock, logger),
    };
    this.leaseExchange = new HomeLeaseExchange(this.context);
    this.changes = new ShardChanges(this.context);
    this.refresh = new RecordRefresh(this.context, this.changes);
    this.registerMethods();
  }

  /** Starts the periodic checks of shards, leases and records. */
  start(): void {
    const { tasks } = this.context;
    tasks.spawn(async () => {
      while (!tasks.stopped) {
        this.tick();
        await tasks.sleep(this.options.timing.homeLeaseIntervalMs);
      }
    });
  }

  /**
   * Hands every shard over to another daemon; gives up after `leaveTimeoutMs`, e.g. without a
   * store.
   */
  async leave(): Promise<void> {
    this.isLeaving = true;
    const { clock, timing } = this.options;
    const finished = new AbortController();
    const homes = [...this.localShards.homes.values()];
    const handovers = Promise.all(homes.map((home) => this.handOverToSuccessor(home)));
    const timeout = clock.sleep(timing.leaveTimeoutMs, finished.signal).catch(() => undefined);
    await Promise.race([handovers, timeout]);
    finished.abort();
  }

  /** Ends all tasks; calls already sent to the target continue. */
  async stop(): Promise<void> {
    this.isLeaving = true;
    this.localShards.revokeAll();
    await this.context.tasks.stop();
  }

  private registerMethods(): void {
    const { methods, service, shards } = this.options;
    methods.register(AtMostOnceMethod.pledge, async (params) =>
      this.leaseExchange.handleRequest(homeLeaseRequestSchema.parse(params)),
    );
    methods.register(AtMostOnceMethod.stage, async (params) => {
      const table = stagedTableSchema.parse(params);
      const isSameSplit = table.service === service && table.shardCount === shards;
      const isForSelf = table.to === this.context.self.incarnation && isSameSplit;
      return isForSelf && !this.isLeaving && this.localShards.stage(table);
    });
    methods.register(AtMostOnceMethod.changed, async (params) => {
      const { shard } = shardRevisionSchema.parse(params);
      this.context.tasks.spawn(() => this.changes.readRecord(shard));
      return true;
    });
  }

  private tick(): void {
    const { tasks } = this.context;
    this.resetDeputyIdleTimeAfterPause();
    this.leaseExchange.renewAll();
    this.localShards.homes.forEach((home) => this.maintainHome(home));
    this.localShards.deputyShards.forEach((shard) => this.takeOverIfAllowed(shard));
    this.localShards
      .stagedShards()
      .forEach((shard) => tasks.spawn(() => this.changes.readRecord(shard)));
    if (!this.isLeaving) tasks.spawn(() => this.refresh.refreshWhenDue());
  }

  /** After a pause of this daemon the idle time of a deputy does not show that it failed. */
  private resetDeputyIdleTimeAfterPause(): void {
    const { clock, timing } = this.options;
    const last = this.lastTick;
    this.lastTick = readClocks(clock);
    if (!last || elapsedSince(clock, last) < 2 * timing.homeLeaseIntervalMs) return;
    this.localShards.homes.forEach((home) => home.resetDeputyIdleTime());
  }

  private maintainHome(home: ShardHome): void {
    const { shard } = home.state;
    if (this.leaseExchange.rejectedShards.delete(shard)) {
      this.context.tasks.spawn(() => this.changes.readRecord(shard));
    }
    if (this.isLeaving || !this.needsDeputy(home)) return;
    this.runUnplannedChange(shard, async () => {
      const isHome = this.localShards.homes.get(shard) === home;
      if (isHome && this.needsDeputy(home)) await this.changes.replaceDeputy(home);
    });
  }

  private needsDeputy(home: ShardHome): boolean {
    const { placement, self } = this.context;
    const { deputy } = home.state.record;
    if (!deputy) return placement.deputyFor(self, []) !== null;
    if (home.deputyIdleMs() >= this.options.timing.deputyTimeoutMs) {
      placement.avoid(deputy.incarnation);
      return true;
    }
    const state = this.options.directory.memberOf(deputy.incarnation)?.state;
    return state === 'draining' || state === 'gone';
  }

  private takeOverIfAllowed(shard: number): void {
    if (this.isLeaving || !this.localShards.deputyOf(shard).canTakeOver()) return;
    this.runUnplannedChange(shard, () => this.changes.takeOver(shard));
  }

  private runUnplannedChange(shard: number, change: () => Promise<void>): void {
    this.context.tasks.spawn(() =>
      this.changes.runIfIdle(shard, () => this.unplannedChanges.run(change)),
    );
  }

  private async handOverToSuccessor(home: ShardHome): Promise<void> {
    const { shard } = home.state;
    const successors = this.context.placement
      .homeCandidatesFor(shard, true)
      .slice(0, MAX_SUCCESSORS);
    for (const successor of successors) {
      await this.changes.runWhenIdle(shard, async () => {
        if (this.localShards.homes.get(shard) !== home) return;
        await this.changes.handOver(home, daemonAddressOf(successor), true);
      });
    }
  }
}
