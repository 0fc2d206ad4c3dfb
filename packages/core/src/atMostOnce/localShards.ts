import { OutcomeTable } from './outcomeTable.js';
import type { OutcomeTableLimits, TableRow } from './outcomeTable.js';
import type { Clock } from '../runtime/clock.js';
import type { StagedTable } from './handover.js';
import type { Logger } from '../observability/logger.js';
import type { ShardClaim } from '../membership/member.js';
import type { AtMostOnceTiming } from './atMostOnceTiming.js';
import type { ShardDeputy, ShardDeputyFactory } from './shardDeputy.js';
import type { ShardHome, ShardHomeFactory } from './shardHome.js';
import type { Holder, ShardState } from './shardRecord.js';

/** What a shard book needs. */
export interface LocalShardsOptions {
  self: Holder;
  shards: number;
  timing: AtMostOnceTiming;
  limits: OutcomeTableLimits;
  clock: Clock;
  logger: Logger;
  createHome: ShardHomeFactory;
  createDeputy: ShardDeputyFactory;
  onClaims: (claims: ShardClaim[]) => void;
  /** Called when this daemon is home at a new revision, which needs a pledge of its own. */
  onHome: (home: ShardHome) => void;
}

const STAGING_MS = 60_000;

interface Staging {
  handover: string;
  /** Monotonic time of the last part. */
  at: number;
  floor: number;
  parts: TableRow[][];
}

/** What one daemon knows of the shards of its service, and what it is to each of them. */
export class LocalShards {
  /** Shards that this daemon is home of, as far as it knows. */
  readonly homes = new Map<number, ShardHome>();

  /** Shards whose newest known record names this daemon as deputy. */
  readonly deputyShards = new Set<number>();

  /** Newest record seen of each shard. */
  readonly states = new Map<number, ShardState>();

  // Kept for the life of the daemon: what was promised stays promised.
  private readonly deputies = new Map<number, ShardDeputy>();

  private readonly stagings = new Map<number, Staging>();

  constructor(private readonly options: LocalShardsOptions) {}

  /** This daemon as deputy of a shard. */
  deputyOf(shard: number): ShardDeputy {
    const { createDeputy, timing, clock } = this.options;
    const deputy = this.deputies.get(shard) ?? createDeputy(shard, timing, clock);
    this.deputies.set(shard, deputy);
    return deputy;
  }

  /** Takes in a record that the store has answered. */
  observe(state: ShardState): void {
    const { shard, revision } = state;
    if (revision <= (this.states.get(shard)?.revision ?? 0)) return;
    this.states.set(shard, state);
    this.keepOrLose(state);
    this.keepDeputy(state);
    this.claim();
  }

  /** Gives up a shard when its home, at a newer revision, turns out to be another daemon. */
  loseHome(shard: number, home: string): void {
    const own = this.homes.get(shard);
    if (!own) return;
    own.lose();
    this.homes.delete(shard);
    this.options.logger.log('info', 'shard has another home', { shard, home });
    this.claim();
  }

  /** Begins nothing more for any shard. */
  loseAll(): void {
    this.homes.forEach((home) => home.lose());
    this.homes.clear();
    this.deputyShards.clear();
    this.claim();
  }

  /** Takes in a part of a table; parts come in order. */
  stage(table: StagedTable): boolean {
    const { shard, handover, part, floor } = table;
    const known = this.stagings.get(shard);
    const at = this.options.clock.now();
    const staging = known?.handover === handover ? known : { handover, at, floor, parts: [] };
    this.stagings.set(shard, staging);
    if (part > staging.parts.length) return false;
    staging.parts[part] = table.rows;
    return true;
  }

  /** Shards whose table has come but whose record does not name this daemon yet. */
  stagedShards(): number[] {
    const oldest = this.options.clock.now() - STAGING_MS;
    this.stagings.forEach(({ at }, shard) => {
      if (at < oldest) this.stagings.delete(shard);
    });
    return [...this.stagings.keys()];
  }

  private keepOrLose(state: ShardState): void {
    const { home, shards } = state.record;
    if (shards !== this.options.shards) this.warnOfSplit(state);
    else if (home.incarnation === this.options.self.incarnation) this.keepHome(state);
    else this.loseHome(state.shard, home.incarnation);
  }

  private keepHome(state: ShardState): void {
    const { shard, revision, record } = state;
    const own = this.homes.get(shard);
    const home = own && LocalShards.isSameTable(own, state) ? own : this.createHome(state);
    if (home === own) own.adopt(state);
    else own?.lose();
    this.homes.set(shard, home);
    this.options.logger.log('info', 'home of shard', { shard, revision, since: record.since });
    this.options.onHome(home);
  }

  private static isSameTable(home: ShardHome, { record }: ShardState): boolean {
    const known = home.state.record;
    return known.handover === record.handover && known.since === record.since;
  }

  private createHome(state: ShardState): ShardHome {
    const { timing, clock, limits, createHome } = this.options;
    const table = new OutcomeTable(limits);
    const loaded = this.loadStaged(state, table);
    // Without the table that belongs to the record, all that ran so far is unknown.
    const since = loaded
      ? state.record.since
      : Math.max(state.record.since, clock.date().getTime());
    return createHome({ state, table, since, timing, clock });
  }

  private loadStaged(state: ShardState, table: OutcomeTable): boolean {
    const { handover } = state.record;
    if (handover === null) return true;
    const staging = this.stagings.get(state.shard);
    if (staging?.handover !== handover) return false;
    table.raiseFloor(staging.floor);
    staging.parts.forEach((rows) => table.load(rows));
    this.stagings.delete(state.shard);
    return true;
  }

  private keepDeputy(state: ShardState): void {
    const named = state.record.deputy?.incarnation === this.options.self.incarnation;
    if (!named) {
      this.deputyShards.delete(state.shard);
      return;
    }
    this.deputyOf(state.shard);
    this.deputyShards.add(state.shard);
  }

  private claim(): void {
    const claims = [...this.homes.values()].map(({ state }) => ({
      shard: state.shard,
      revision: state.revision,
    }));
    this.options.onClaims(claims.sort((left, right) => left.shard - right.shard));
  }

  private warnOfSplit({ shard, record }: ShardState): void {
    const fields = { shard, recorded: record.shards, configured: this.options.shards };
    this.options.logger.log('error', 'the number of shards must not change', fields);
    this.loseHome(shard, record.home.incarnation);
  }
}
