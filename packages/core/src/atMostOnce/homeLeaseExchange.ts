import { readClocks } from '../runtime/clockReading.js';
import type { ClockReading } from '../runtime/clockReading.js';
import { AtMostOnceMethod } from './homeLease.js';
import type { HomeLeaseResponse, HomeLeaseRequest, ShardRevision } from './homeLease.js';
import type { ShardContext } from './shardContext.js';
import type { ShardHome } from './shardHome.js';

/**
 * Requests home leases from deputies, with one message for all shards of a pair of daemons, and
 * grants leases to other homes.
 */
export class HomeLeaseExchange {
  /** Shards whose deputy granted no lease: it may know a newer record. */
  readonly rejectedShards = new Set<number>();

  constructor(private readonly context: ShardContext) {}

  /** Sends one lease request to each deputy, for all shards that it is deputy of. */
  renewAll(): void {
    const byDeputy = new Map<string, ShardHome[]>();
    this.context.localShards.homes.forEach((home) => {
      const deputy = home.state.record.deputy?.incarnation;
      if (deputy) byDeputy.set(deputy, [...(byDeputy.get(deputy) ?? []), home]);
    });
    byDeputy.forEach((homes) => this.context.tasks.spawn(() => this.requestLeases(homes)));
  }

  /** Requests home leases for `homes`, which must have the same deputy. */
  async requestLeases(homes: ShardHome[]): Promise<void> {
    const { self, options } = this.context;
    const deputy = homes[0]?.state.record.deputy;
    if (!deputy) return;
    const requestedAt = readClocks(options.clock);
    const shards = homes.map(({ state }) => ({ shard: state.shard, revision: state.revision }));
    const request: HomeLeaseRequest = {
      service: options.service,
      home: self.incarnation,
      deputy: deputy.incarnation,
      shardCount: options.shards,
      shards,
    };
    const response = await options.peers.call<HomeLeaseResponse>(
      { address: deputy.address, port: deputy.peerPort },
      AtMostOnceMethod.pledge,
      request,
      options.timing.homeLeaseIntervalMs,
    );
    if (response.isErr() || response.value.deputy !== deputy.incarnation) return;
    this.recordLeases(shards, response.value.granted, requestedAt);
  }

  /** Handles the lease request of a home. */
  handleRequest(request: HomeLeaseRequest): HomeLeaseResponse {
    const { self, options, tasks } = this.context;
    const deputy = self.incarnation;
    const isSameSplit =
      request.service === options.service && request.shardCount === options.shards;
    if (request.deputy !== deputy || !isSameSplit || tasks.stopped) return { deputy, granted: [] };
    return {
      deputy,
      granted: request.shards.filter((shard) => this.grantLease(shard, request.home)),
    };
  }

  private grantLease({ shard, revision }: ShardRevision, home: string): boolean {
    const { localShards } = this.context;
    const known = localShards.states.get(shard)?.revision ?? 0;
    if (revision < known) return false;
    if (revision > known) localShards.revokeHome(shard, home);
    const isGranted = localShards.deputyOf(shard).grantLease(revision);
    if (isGranted) localShards.deputyShards.add(shard);
    return isGranted;
  }

  private recordLeases(
    requested: ShardRevision[],
    granted: ShardRevision[],
    requestedAt: ClockReading,
  ): void {
    const { localShards } = this.context;
    granted.forEach(({ shard, revision }) =>
      localShards.homes.get(shard)?.recordLease(revision, requestedAt),
    );
    const grantedShards = new Set(granted.map(({ shard }) => shard));
    requested.forEach(({ shard }) => {
      if (!grantedShards.has(shard)) this.rejectedShards.add(shard);
    });
  }
}
