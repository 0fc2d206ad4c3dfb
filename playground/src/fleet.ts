import {
  CONFIGURATION_KEY,
  ManualClock,
  MembershipMethod,
  MemoryStore,
  ResultCode,
  createConfigurationManager,
  createFailure,
  createMembership,
  createSeededRandom,
  peerAddressOf,
  silentLogger,
} from '@shallotcroft/core';
import type {
  Configuration,
  ConfigurationManager,
  Member,
  Membership,
  PeerAddress,
  PeerCaller,
  RandomSource,
} from '@shallotcroft/core';
import { Err } from 'ts-results-es';
import { MemoryNetwork } from './memoryNetwork.js';
import type { MemoryPeer } from './memoryNetwork.js';
import { PausableClock } from './pausableClock.js';

/** A daemon of an in-memory fleet. */
export interface FleetDaemon {
  name: string;
  clock: PausableClock;
  peer: MemoryPeer;
  membership: Membership;
  store: MemoryStore;
  manager: ConfigurationManager;
  state: 'up' | 'paused' | 'ended';
}

/** Creates a member record with a serving target of `catalogue`. */
export function memberNamed(incarnation: string, address: string, dataCentre: string): Member {
  return {
    incarnation,
    version: 1,
    host: `host-${address}`,
    dataCentre,
    service: 'catalogue',
    state: 'serving',
    address,
    callPort: 7001,
    peerPort: 7002,
    homes: [],
  };
}

/** Addresses that every daemon of a fleet joins through. */
const bootstrapAddresses: PeerAddress[] = ['10.0.0.1', '10.0.0.2'].map((address) => ({
  address,
  port: 7002,
}));

/** Stops a daemon without an announcement, like a crash. */
export function kill(daemon: FleetDaemon): void {
  daemon.peer.detach();
  daemon.membership.stop();
  daemon.manager.stop();
  Object.assign(daemon, { state: 'ended' });
}

/** Pauses a daemon without notifying it, like a stopped process. */
export function pause(daemon: FleetDaemon): void {
  daemon.clock.pause();
  Object.assign(daemon, { state: 'paused' });
}

/** Resumes a paused daemon. */
export function resume(daemon: FleetDaemon): void {
  Object.assign(daemon, { state: 'up' });
  daemon.clock.resume();
}

/** Creates the configuration of a revision; consecutive revisions differ in one service. */
export function configurationOf(revision: number): Configuration {
  const service = `service-${revision % 3}`;
  return {
    revision,
    changeId: `change-${revision}`,
    objective: 'goodput',
    services: {
      [service]: { name: service, slots: revision, connections: 10, limit: 'adaptive', shards: 1 },
    },
    calls: {},
  };
}

/** In-memory fleet of daemons on one manual clock, with fault injection. */
export class Fleet {
  readonly clock = new ManualClock();

  readonly network = new MemoryNetwork(this.clock);

  readonly random: RandomSource;

  readonly daemons: FleetDaemon[] = [];

  /** Addresses that daemons join through. */
  bootstrap = bootstrapAddresses;

  /** Addresses on one side of a partition; only addresses on the same side reach each other. */
  readonly partitionedAddresses = new Set<string>();

  /** Store session used by operators. */
  readonly store = new MemoryStore(this.clock);

  /** Control methods whose requests are lost. */
  readonly lostMethods = new Set<string>();

  /** Whether watches of daemons that start from now on deliver no events. */
  stalledWatches = false;

  /** Called with each daemon before it starts. */
  onStart: ((daemon: FleetDaemon) => void) | undefined;

  /** Parameters of all exchanges sent so far, for replays. */
  readonly recordedExchanges: unknown[] = [];

  private started = 0;

  private storeDown = false;

  constructor(seed: number) {
    this.random = createSeededRandom(seed);
    this.network.reach = (from, to) => this.isReachable(from, to);
  }

  /** Starts a daemon at an address; kills a daemon that runs there. */
  async join(address: string, dataCentre = 'hobart'): Promise<FleetDaemon> {
    this.daemonAt(address).forEach((daemon) => kill(daemon));
    this.started += 1;
    const name = `run-${this.started}`;
    const clock = new PausableClock(this.clock);
    const self = memberNamed(name, address, dataCentre);
    const peer = this.network.attach(peerAddressOf(self));
    const membership = createMembership({
      self,
      clock,
      random: this.random,
      peers: this.recordExchanges(peer),
      methods: peer,
      bootstrap: async () => this.bootstrap,
      logger: silentLogger,
    });
    const store = this.store.session();
    store.setDown(this.storeDown);
    if (this.stalledWatches) Object.assign(store, { watch: () => ({ close: () => undefined }) });
    const manager = createConfigurationManager({
      membership,
      store,
      peers: peer,
      methods: peer,
      clock,
      random: this.random,
      logger: silentLogger,
    });
    const daemon: FleetDaemon = {
      name,
      clock,
      peer,
      membership,
      store,
      manager,
      state: 'up',
    };
    this.daemons.push(daemon);
    this.onStart?.(daemon);
    membership
      .start()
      .then(() => manager.start())
      .catch(() => undefined);
    await ManualClock.settle();
    return daemon;
  }

  /** Makes the store unavailable to all daemons, or available again. */
  setStoreDown(down: boolean): void {
    this.storeDown = down;
    this.alive().forEach((daemon) => daemon.store.setDown(down));
  }

  /** Writes the next revision to the store; resolves with its number. */
  async apply(): Promise<number> {
    const entry = (await this.store.get(CONFIGURATION_KEY)).unwrap();
    const current = entry ? (JSON.parse(entry.value) as Configuration) : undefined;
    const next = configurationOf((current?.revision ?? 0) + 1);
    await this.store.swap(CONFIGURATION_KEY, entry?.modRevision ?? 0, JSON.stringify(next));
    return next.revision;
  }

  /** Revisions in force at the daemons that are up. */
  revisions(): number[] {
    const up = this.alive().filter((daemon) => daemon.state === 'up');
    return up.map((daemon) => daemon.manager.current()?.revision ?? 0);
  }

  /** Shuts a daemon down with an announcement. */
  async leave(daemon: FleetDaemon): Promise<void> {
    const left = daemon.membership.leave();
    await this.clock.advance(1500);
    await left;
    kill(daemon);
  }

  /** Daemons that have not ended. */
  alive(): FleetDaemon[] {
    return this.daemons.filter((daemon) => daemon.state !== 'ended');
  }

  daemonAt(address: string): FleetDaemon[] {
    return this.alive().filter((daemon) => daemon.membership.self().address === address);
  }

  /** Names of the members that a daemon holds as live, sorted. */
  static viewOf(daemon: FleetDaemon): string[] {
    const live = daemon.membership.members().filter((member) => member.state !== 'gone');
    return live.map((member) => member.incarnation).sort();
  }

  /** Names of the daemons that have not ended, sorted. */
  liveNames(): string[] {
    return this.alive()
      .map((daemon) => daemon.name)
      .sort();
  }

  /** Milliseconds until all views have converged; undefined if that takes longer than `boundMs`. */
  async timeToConverge(boundMs: number): Promise<number | undefined> {
    const startedAt = this.clock.now();
    while (this.clock.now() - startedAt <= boundMs) {
      if (this.hasConverged()) return this.clock.now() - startedAt;
      await this.clock.advance(200);
    }
    return undefined;
  }

  hasConverged(): boolean {
    const expected = this.liveNames().join();
    return this.alive().every((daemon) => Fleet.viewOf(daemon).join() === expected);
  }

  /** Delivers a recorded exchange to a daemon. */
  async replay(pick: number, daemon: FleetDaemon): Promise<void> {
    const params = this.recordedExchanges[pick % this.recordedExchanges.length];
    const sender = this.network.attach({ address: '10.9.9.9', port: 1 });
    const to = peerAddressOf(daemon.membership.self());
    const sent = sender.call(to, MembershipMethod.exchange, params, 1000);
    await this.clock.advance(1000);
    await sent;
  }

  private recordExchanges(peer: MemoryPeer): PeerCaller {
    return {
      close: () => peer.close(),
      call: async (to, method, params, timeoutMs) => {
        if (method === MembershipMethod.exchange) this.recordedExchanges.push(params);
        if (this.lostMethods.has(method)) {
          await this.clock.sleep(timeoutMs);
          return Err(createFailure(ResultCode.daemonUnreachable, `${method} was lost`));
        }
        return peer.call(to, method, params, timeoutMs);
      },
    };
  }

  private isReachable(from: PeerAddress, to: PeerAddress): boolean {
    const paused = [...this.daemonAt(from.address), ...this.daemonAt(to.address)].some(
      (daemon) => daemon.state === 'paused',
    );
    return (
      !paused &&
      this.partitionedAddresses.has(from.address) === this.partitionedAddresses.has(to.address)
    );
  }
}
