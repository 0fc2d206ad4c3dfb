import {
  CONFIGURATION_KEY,
  MemoryDatabase,
  MemoryStore,
  GOSSIP_TRANSMISSIONS,
  ResultCode,
  GossipQueue,
  createConfigurationManager,
  createFailure,
  createSeededRandom,
  silentLogger,
} from '@shallotcroft/core';
import type {
  PiggybackedValue,
  ConfigurationManager,
  Member,
  Membership,
  PeerAddress,
  PeerCaller,
  PeerMethod,
  RandomSource,
} from '@shallotcroft/core';
import { Err, Ok } from 'ts-results-es';
import { DATA_CENTRES, configurationAt, memberAt } from './capacityFleet.js';
import { TickClock } from './tickClock.js';

/** Fleet size that the configuration is generated for. */
const CONFIGURATION_SIZE = 250;
const EXCHANGES_PER_SECOND = 1;
const GOSSIP_INTERVAL_MS = 200;
const LOCAL_LATENCY_MS = 1;
const REMOTE_LATENCY_MS = 40;
const START_MS = 8000;
/** Share of the fleet at which `secondsToMost` is taken. */
const GOSSIP_COVERAGE = 0.99;
const REVISION_COUNT = 5;

/** Time in which a revision reached a fleet. */
export interface RevisionSpread {
  size: number;
  secondsToHalf: number;
  secondsToAll: number | undefined;
}

/** Spread of a member update by gossip alone; `secondsToMost` is the time to 99 % of the fleet. */
export interface GossipSpread {
  size: number;
  secondsToMost: number | undefined;
  /** Share of the fleet that gossip did not reach; these learn by comparison of member tables. */
  missed: number;
}

/** Load of the store: reads and writes per second, and open watches. */
export interface StoreLoad {
  size: number;
  readsPerSecond: number;
  writesPerSecond: number;
  watchesWaiting: number;
  /** Reads per second while the store is down; all of them fail. */
  readsPerSecondWhileDown: number;
  /** Highest number of reads in one second during the minute after the outage. */
  peakReadsOnReturn: number;
}

interface SimulatedDaemon {
  member: Member;
  manager: ConfigurationManager;
  store: MemoryStore;
  piggybacked: PiggybackedValue[];
  methods: Map<string, PeerMethod>;
}

/** Configuration managers of a whole fleet, over one shared list of members. */
class ConfigurationFleet {
  readonly clock = new TickClock();

  readonly daemons: SimulatedDaemon[] = [];

  private readonly database = new MemoryDatabase(this.clock);

  private readonly operators = new MemoryStore(this.clock, this.database);

  private readonly random: RandomSource = createSeededRandom(11);

  private readonly byAddress = new Map<string, SimulatedDaemon>();

  private readonly byDataCentre: Member[][] = Array.from({ length: DATA_CENTRES }, () => []);

  private exchanged = 0;

  constructor(private readonly size: number) {
    for (let index = 0; index < size; index++) {
      this.byDataCentre[index % DATA_CENTRES]?.push(memberAt(index, size));
    }
    for (let index = 0; index < size; index++) this.add(index);
  }

  async start(): Promise<void> {
    await this.apply(1);
    this.daemons.forEach(({ manager }) => {
      manager.start().catch(() => undefined);
    });
    await this.advance(START_MS);
  }

  async apply(revision: number): Promise<void> {
    const entry = (await this.operators.get(CONFIGURATION_KEY)).unwrap();
    const next = JSON.stringify(configurationAt(CONFIGURATION_SIZE, revision));
    await this.operators.swap(CONFIGURATION_KEY, entry?.modRevision ?? 0, next);
  }

  /** Advances the time and simulates membership exchanges, which piggyback the revision. */
  async advance(ms: number): Promise<void> {
    const step = 50;
    for (let passed = 0; passed < ms; passed += step) {
      const exchanges = (this.size * EXCHANGES_PER_SECOND * step) / 1000;
      for (this.exchanged += exchanges; this.exchanged >= 1; this.exchanged -= 1) {
        this.exchangeOnce();
      }
      await this.clock.advance(step);
    }
  }

  countHolders(revision: number): number {
    return this.daemons.filter(({ manager }) => manager.current()?.revision === revision).length;
  }

  counts(): { reads: number; writes: number; watching: number } {
    const sum = (of: (daemon: SimulatedDaemon) => number): number =>
      this.daemons.reduce((total, daemon) => total + of(daemon), 0);
    return {
      reads: sum(({ store }) => store.counts.reads),
      writes: sum(({ store }) => store.counts.writes),
      watching: sum(({ manager }) => (manager.isStoreReachable() === undefined ? 0 : 1)),
    };
  }

  setStoreDown(down: boolean): void {
    this.daemons.forEach(({ store }) => store.setDown(down));
  }

  stop(): void {
    this.daemons.forEach(({ manager }) => manager.stop());
  }

  private pick(): SimulatedDaemon {
    return this.daemons[Math.floor(this.random.next() * this.size)] as SimulatedDaemon;
  }

  private exchangeOnce(): void {
    const [one, other] = [this.pick(), this.pick()];
    ConfigurationFleet.sendPiggybacked(one, other);
    ConfigurationFleet.sendPiggybacked(other, one);
  }

  private static sendPiggybacked(from: SimulatedDaemon, to: SimulatedDaemon): void {
    const address = { address: from.member.address, port: from.member.peerPort };
    from.piggybacked.forEach((piggybacked, index) => {
      to.piggybacked[index]?.received(address, piggybacked.value());
    });
  }

  private add(index: number): void {
    const member = memberAt(index, this.size);
    const piggybacked: PiggybackedValue[] = [];
    const methods = new Map<string, PeerMethod>();
    const store = new MemoryStore(this.clock, this.database);
    const manager = createConfigurationManager({
      membership: this.membershipOf(member, piggybacked),
      store,
      peers: this.callerOf(member),
      methods: { register: (method, handler) => methods.set(method, handler) },
      clock: this.clock,
      random: this.random,
      logger: silentLogger,
    });
    const daemon: SimulatedDaemon = { member, manager, store, piggybacked, methods };
    this.daemons.push(daemon);
    this.byAddress.set(member.address, daemon);
  }

  /** Creates a membership stub that is complete from the start and lists its own data centre only. */
  private membershipOf(self: Member, piggybacked: PiggybackedValue[]): Membership {
    const near = this.byDataCentre[Number(self.dataCentre.split('-').at(-1))] ?? [];
    const nothing = async (): Promise<void> => undefined;
    return {
      start: nothing,
      update: nothing,
      leave: nothing,
      stop: () => undefined,
      self: () => self,
      piggyback: (value) => piggybacked.push(value),
      randomMembers: (count, accept) =>
        Array.from({ length: count }, () =>
          accept
            ? (near[Math.floor(this.random.next() * near.length)] as Member)
            : this.pick().member,
        ),
      targetsOf: () => [],
      members: () => near,
      memberOf: () => undefined,
      onChange: () => () => undefined,
    };
  }

  private callerOf(self: Member): PeerCaller {
    return {
      close: async () => undefined,
      call: async <T>(to: PeerAddress, method: string, params: unknown) => {
        const other = this.byAddress.get(to.address);
        const isNear = other?.member.dataCentre === self.dataCentre;
        const latencyMs = isNear ? LOCAL_LATENCY_MS : REMOTE_LATENCY_MS;
        // Opening a connection and sending the request take three one-way latencies.
        await this.clock.sleep(3 * latencyMs);
        const response = await other?.methods.get(method)?.(params);
        await this.clock.sleep(latencyMs);
        if (response !== undefined) return Ok(response as T);
        return Err(createFailure(ResultCode.daemonUnreachable, 'no response'));
      },
    };
  }
}

async function spreadOnce(
  fleet: ConfigurationFleet,
  size: number,
  revision: number,
  boundMs: number,
): Promise<RevisionSpread> {
  await fleet.apply(revision);
  const appliedAt = fleet.clock.now();
  const seconds = (): number => (fleet.clock.now() - appliedAt) / 1000;
  let secondsToHalf = 0;
  let reached = 0;
  while (reached < size && seconds() * 1000 < boundMs) {
    await fleet.advance(50);
    reached = fleet.countHolders(revision);
    if (secondsToHalf === 0 && 2 * reached >= size) secondsToHalf = seconds();
  }
  return { size, secondsToHalf, secondsToAll: reached === size ? seconds() : undefined };
}

/** Measures the time until a revision is in force at every daemon; returns the slowest of several. */
export async function measureRevisionSpread(
  size: number,
  boundMs: number,
): Promise<RevisionSpread> {
  const fleet = new ConfigurationFleet(size);
  await fleet.start();
  const spreads: RevisionSpread[] = [];
  for (let revision = 2; revision < 2 + REVISION_COUNT; revision++) {
    spreads.push(await spreadOnce(fleet, size, revision, boundMs));
  }
  fleet.stop();
  spreads.sort((a, b) => (b.secondsToAll ?? Infinity) - (a.secondsToAll ?? Infinity));
  return spreads[0] as RevisionSpread;
}

/** Measures the load of the store when idle, in an outage of `outageSeconds` and after it. */
export async function measureStoreLoad(size: number, outageSeconds: number): Promise<StoreLoad> {
  const restSeconds = 60;
  const fleet = new ConfigurationFleet(size);
  await fleet.start();
  const atStart = fleet.counts();
  await fleet.advance(restSeconds * 1000);
  const rested = fleet.counts();
  fleet.setStoreDown(true);
  await fleet.advance(outageSeconds * 1000);
  const returned = fleet.counts();
  fleet.setStoreDown(false);
  let peakReadsOnReturn = 0;
  let { reads } = returned;
  for (let second = 0; second < 60; second++) {
    await fleet.advance(1000);
    const now = fleet.counts().reads;
    peakReadsOnReturn = Math.max(peakReadsOnReturn, now - reads);
    reads = now;
  }
  fleet.stop();
  return {
    size,
    readsPerSecond: (rested.reads - atStart.reads) / restSeconds,
    writesPerSecond: (rested.writes - atStart.writes) / restSeconds,
    watchesWaiting: rested.watching,
    readsPerSecondWhileDown: (returned.reads - rested.reads) / outageSeconds,
    peakReadsOnReturn,
  };
}

/** Simulates the spread of one member update with gossip queues, one message per daemon and round. */
export function measureGossipSpread(size: number): GossipSpread {
  const random = createSeededRandom(13);
  const update = { kind: 'alive', member: memberAt(0, size) } as const;
  const queues = new Map<number, GossipQueue>();
  const inform = (index: number): void => {
    if (queues.has(index)) return;
    const queue = new GossipQueue();
    queue.add(update);
    queues.set(index, queue);
  };
  inform(0);
  let rounds = 0;
  let roundsToMost: number | undefined;
  for (; rounds < 20 * GOSSIP_TRANSMISSIONS; rounds++) {
    const active = [...queues.values()].filter((queue) => queue.size > 0);
    if (active.length === 0) break;
    active.forEach((queue) => {
      queue.take();
      inform(Math.floor(random.next() * size));
    });
    if (queues.size >= GOSSIP_COVERAGE * size) roundsToMost ??= rounds + 1;
  }
  return {
    size,
    secondsToMost:
      roundsToMost === undefined ? undefined : (roundsToMost * GOSSIP_INTERVAL_MS) / 1000,
    missed: 1 - queues.size / size,
  };
}
