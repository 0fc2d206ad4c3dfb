import { OutcomeTable } from './outcomeTable.js';
import type { OutcomeTableLimits, OutcomeRow } from './outcomeTable.js';
import type { Clock } from '../runtime/clock.js';
import type { StagedTable } from './handover.js';
import type { Logger } from '../observability/logger.js';
import type { ShardClaim } from '../membership/member.js';
import type { AtMostOnceTiming } from './atMostOnceTiming.js';
import type { ShardDeputy, ShardDeputyFactory } from './shardDeputy.js';
import type { ShardHome, ShardHomeFactory } from './shardHome.js';
import type { DaemonAddress, ShardState } from './shardRecord.js';

/** Options of `LocalShards`. */
export interface LocalShardsOptions {
  self: DaemonAddress;
  shards: number;
  timing: AtMostOnceTiming;
  limits: OutcomeTableLimits;
  clock: Clock;
  logger: Logger;
  createHome: ShardHomeFactory;
  createDeputy: ShardDeputyFactory;
  onClaims: (claims: ShardClaim[]) => void;
  /** Called when this daemon is home at a new revision, which needs a new home lease. */
  onHome: (home: ShardHome) => void;
}

/** An incomplete handover is discarded this long after its first part arrived. */
const STAGED_TABLE_TTL_MS = 60_000;

interface PartialTable {
  handover: string;
  /** Monotonic time when the first part arrived. */
  firstPartAt: number;
  floor: number;
  parts: OutcomeRow[][];
}

/** The shards of one service as known to this daemon, with its own roles as home and deputy. */
export class LocalShards {
  /** Shards that this daemon is home of, by the newest records it has seen. */
  readonly homes = new Map<number, ShardHome>();

  /** Shards that this daemon is deputy of, by the newest record or lease request it has seen. */
  readonly deputyShards = new Set<number>();

  /** Newest known record of each shard. */
  readonly states = new Map<number, ShardState>();

  // Never removed: a granted home lease stays binding after the record changes.
  private readonly deputies = new Map<number, ShardDeputy>();

  private readonly partialTables = new Map<number, PartialTable>();

  constructor(private readonly options: LocalShardsOptions) {}

  /** Returns this daemon's deputy state for a shard, and creates it on first use. */
  deputyOf(shard: number): ShardDeputy {
    const { createDeputy, timing, clock } = this.options;
    const deputy = this.deputies.get(shard) ?? createDeputy(shard, timing, clock);
    this.deputies.set(shard, deputy);
    return deputy;
  }

  /** Applies a record read from the store; ignores it unless it is newer than the known one. */
  applyRecord(state: ShardState): void {
    const { shard, revision } = state;
    if (revision <= (this.states.get(shard)?.revision ?? 0)) return;
    this.states.set(shard, state);
    this.updateHome(state);
    this.updateDeputy(state);
    this.announceClaims();
  }

  /** Stops being home of a shard after a newer revision named another daemon. */
  revokeHome(shard: number, home: string): void {
    const own = this.homes.get(shard);
    if (!own) return;
    own.revoke();
    this.homes.delete(shard);
    this.options.logger.log('info', 'shard has another home', { shard, home });
    this.announceClaims();
  }

  /** Stops being home and deputy of all shards. */
  revokeAll(): void {
    this.homes.forEach((home) => home.revoke());
    this.homes.clear();
    this.deputyShards.clear();
    this.announceClaims();
  }

  /** Stores a part of an outcome table; false when an earlier part is missing. */
  stage(table: StagedTable): boolean {
    const { shard, handover, part, floor } = table;
    const previous = this.partialTables.get(shard);
    const now = this.options.clock.now();
    const staged =
      previous?.handover === handover ? previous : { handover, firstPartAt: now, floor, parts: [] };
    this.partialTables.set(shard, staged);
    if (part > staged.parts.length) return false;
    staged.parts[part] = table.rows;
    return true;
  }

  /** Shards with staged parts of a table whose record does not name this daemon as home yet. */
  stagedShards(): number[] {
    const oldest = this.options.clock.now() - STAGED_TABLE_TTL_MS;
    this.partialTables.forEach(({ firstPartAt }, shard) => {
      if (firstPartAt < oldest) this.partialTables.delete(shard);
    });
    return [...this.partialTables.keys()];
  }

  private updateHome(state: ShardState): void {
    const { home, shards } = state.record;
    if (shards !== this.options.shards) this.rejectShardCount(state);
    else if (home.incarnation === this.options.self.incarnation) this.setHome(state);
    else this.revokeHome(state.shard, home.incarnation);
  }

  private setHome(state: ShardState): void {
    const { shard, revision, record } = state;
    const own = this.homes.get(shard);
    const home = own && LocalShards.hasSameTable(own, state) ? own : this.createHome(state);
    if (home === own) own.updateState(state);
    else own?.revoke();
    this.homes.set(shard, home);
    this.options.logger.log('info', 'home of shard', { shard, revision, since: record.since });
    this.options.onHome(home);
  }

  private static hasSameTable(home: ShardHome, { record }: ShardState): boolean {
    const known = home.state.record;
    return known.handover === record.handover && known.since === record.since;
  }

  private createHome(state: ShardState): ShardHome {
    const { timing, clock, limits, createHome } = this.options;
    const table = new OutcomeTable(limits);
    const isTableLoaded = this.loadStagedTable(state, table);
    // Without the table of this record, any key minted so far may have run at an earlier home.
    const since = isTableLoaded
      ? state.record.since
      : Math.max(state.record.since, clock.date().getTime());
    return createHome({ state, table, since, timing, clock });
  }

  private loadStagedTable(state: ShardState, table: OutcomeTable): boolean {
    const { handover } = state.record;
    if (handover === null) return true;
    const staged = this.partialTables.get(state.shard);
    if (staged?.handover !== handover) return false;
    table.forgetBefore(staged.floor);
    staged.parts.forEach((rows) => table.load(rows));
    this.partialTables.delete(state.shard);
    return true;
  }

  private updateDeputy(state: ShardState): void {
    const isDeputy = state.record.deputy?.incarnation === this.options.self.incarnation;
    if (!isDeputy) {
      this.deputyShards.delete(state.shard);
      return;
    }
    this.deputyOf(state.shard);
    this.deputyShards.add(state.shard);
  }

  private announceClaims(): void {
    const claims = [...this.homes.values()].map(({ state }) => ({
      shard: state.shard,
      revision: state.revision,
    }));
    this.options.onClaims(claims.sort((left, right) => left.shard - right.shard));
  }

  private rejectShardCount({ shard, record }: ShardState): void {
    const fields = { shard, recorded: record.shards, configured: this.options.shards };
    this.options.logger.log('error', 'the number of shards must not change', fields);
    this.revokeHome(shard, record.home.incarnation);
  }
}
