import { readInstant } from './atMostOnceTiming.js';
import type { Instant } from './atMostOnceTiming.js';
import { AtMostOnceMethod } from './homeLease.js';
import type { HomeLeaseResponse, HomeLeaseRequest, ShardRevision } from './homeLease.js';
import type { ShardContext } from './shardContext.js';
import type { ShardHome } from './shardHome.js';

/** Asks deputies for pledges, one message for all shards of a pair of daemons, and answers homes. */
export class HomeLeaseExchange {
  /** Shards whose deputy refused: it may know a newer record. */
  readonly doubtedShards = new Set<number>();

  constructor(private readonly context: ShardContext) {}

  /** Asks each deputy once, for all the shards it is deputy of. */
  askAll(): void {
    const byDeputy = new Map<string, ShardHome[]>();
    this.context.localShards.homes.forEach((home) => {
      const deputy = home.state.record.deputy?.incarnation;
      if (deputy) byDeputy.set(deputy, [...(byDeputy.get(deputy) ?? []), home]);
    });
    byDeputy.forEach((homes) => this.context.tasks.spawn(() => this.ask(homes)));
  }

  /** Asks for a home's pledge at once. */
  async ask(homes: ShardHome[]): Promise<void> {
    const { self, options } = this.context;
    const deputy = homes[0]?.state.record.deputy;
    if (!deputy) return;
    const asked = readInstant(options.clock);
    const shards = homes.map(({ state }) => ({ shard: state.shard, revision: state.revision }));
    const request: HomeLeaseRequest = {
      service: options.service,
      home: self.incarnation,
      deputy: deputy.incarnation,
      shardCount: options.shards,
      shards,
    };
    const answer = await options.peers.call<HomeLeaseResponse>(
      { address: deputy.address, port: deputy.peerPort },
      AtMostOnceMethod.pledge,
      request,
      options.timing.pledgeIntervalMs,
    );
    if (answer.isErr() || answer.value.deputy !== deputy.incarnation) return;
    this.notePledges(shards, answer.value.granted, asked);
  }

  /** Answers the request of a home. */
  answer(request: HomeLeaseRequest): HomeLeaseResponse {
    const { self, options, tasks } = this.context;
    const deputy = self.incarnation;
    const sameSplit = request.service === options.service && request.shardCount === options.shards;
    if (request.deputy !== deputy || !sameSplit || tasks.stopped) return { deputy, granted: [] };
    return { deputy, granted: request.shards.filter((asked) => this.grant(asked, request.home)) };
  }

  private grant({ shard, revision }: ShardRevision, home: string): boolean {
    const { localShards } = this.context;
    const known = localShards.states.get(shard)?.revision ?? 0;
    if (revision < known) return false;
    if (revision > known) localShards.loseHome(shard, home);
    const granted = localShards.deputyOf(shard).grant(revision);
    if (granted) localShards.deputyShards.add(shard);
    return granted;
  }

  private notePledges(asked: ShardRevision[], granted: ShardRevision[], at: Instant): void {
    const { localShards } = this.context;
    granted.forEach(({ shard, revision }) => localShards.homes.get(shard)?.pledged(revision, at));
    const grantedShards = new Set(granted.map(({ shard }) => shard));
    asked.forEach(({ shard }) => {
      if (!grantedShards.has(shard)) this.doubtedShards.add(shard);
    });
  }
}
