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

const SMALL_CONFIGURATION = 250;
const EXCHANGES_PER_SECOND = 1;
const SPREAD_INTERVAL_MS = 200;
const NEAR_LATENCY_MS = 1;
const FAR_LATENCY_MS = 40;
const START_MS = 8000;
const MOST = 0.99;
const REVISIONS_TRIED = 5;

/** How a revision reached a whole fleet. */
export interface RevisionSpread {
  size: number;
  secondsToHalf: number;
  secondsToAll: number | undefined;
}

/** How news of a member reached a fleet by rumours alone; most is 99 of 100. */
export interface RumourSpread {
  size: number;
  secondsToMost: number | undefined;
  /** Share of the fleet that rumours did not reach; comparison of tables tells these. */
  missed: number;
}

/** Calls of the store in one second, by kind, and watches that wait. */
export interface StoreLoad {
  size: number;
  readsPerSecond: number;
  writesPerSecond: number;
  watchesWaiting: number;
  /** Reads per second while the store is down, which all fail. */
  readsPerSecondWhileDown: number;
  /** Most reads in one second in the minute after it returned. */
  peakReadsOnReturn: number;
}

interface LightDaemon {
  member: Member;
  manager: ConfigurationManager;
  store: MemoryStore;
  carried: PiggybackedValue[];
  methods: Map<string, PeerMethod>;
}

/** Real configuration keepers of a whole fleet over one shared list of members. */
class KeeperFleet {
  readonly clock = new TickClock();

  readonly daemons: LightDaemon[] = [];

  private readonly database = new MemoryDatabase(this.clock);

  private readonly operators = new MemoryStore(this.clock, this.database);

  private readonly random: RandomSource = createSeededRandom(11);

  private readonly byAddress = new Map<string, LightDaemon>();

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
    const next = JSON.stringify(configurationAt(SMALL_CONFIGURATION, revision));
    await this.operators.swap(CONFIGURATION_KEY, entry?.modRevision ?? 0, next);
  }

  /** Lets time pass with the exchanges of membership, which carry the revision. */
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

  holding(revision: number): number {
    return this.daemons.filter(({ manager }) => manager.current()?.revision === revision).length;
  }

  counts(): { reads: number; writes: number; watching: number } {
    const sum = (of: (daemon: LightDaemon) => number): number =>
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

  private pick(): LightDaemon {
    return this.daemons[Math.floor(this.random.next() * this.size)] as LightDaemon;
  }

  private exchangeOnce(): void {
    const [one, other] = [this.pick(), this.pick()];
    KeeperFleet.tell(one, other);
    KeeperFleet.tell(other, one);
  }

  private static tell(from: LightDaemon, to: LightDaemon): void {
    const address = { address: from.member.address, port: from.member.peerPort };
    from.carried.forEach((carried, index) => {
      to.carried[index]?.received(address, carried.value());
    });
  }

  private add(index: number): void {
    const member = memberAt(index, this.size);
    const carried: PiggybackedValue[] = [];
    const methods = new Map<string, PeerMethod>();
    const store = new MemoryStore(this.clock, this.database);
    const manager = createConfigurationManager({
      membership: this.membershipOf(member, carried),
      store,
      peers: this.callerOf(member),
      methods: { register: (method, handler) => methods.set(method, handler) },
      clock: this.clock,
      random: this.random,
      logger: silentLogger,
    });
    const daemon: LightDaemon = { member, manager, store, carried, methods };
    this.daemons.push(daemon);
    this.byAddress.set(member.address, daemon);
  }

  /** A membership that is complete from the start; it lists the own data centre only. */
  private membershipOf(self: Member, carried: PiggybackedValue[]): Membership {
    const near = this.byDataCentre[Number(self.dataCentre.split('-').at(-1))] ?? [];
    const nothing = async (): Promise<void> => undefined;
    return {
      start: nothing,
      update: nothing,
      leave: nothing,
      stop: () => undefined,
      self: () => self,
      piggyback: (value) => carried.push(value),
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
        const latencyMs = isNear ? NEAR_LATENCY_MS : FAR_LATENCY_MS;
        // A new connection first, then the request; its answer takes as long again.
        await this.clock.sleep(3 * latencyMs);
        const answer = await other?.methods.get(method)?.(params);
        await this.clock.sleep(latencyMs);
        if (answer !== undefined) return Ok(answer as T);
        return Err(createFailure(ResultCode.daemonUnreachable, 'no answer'));
      },
    };
  }
}

async function spreadOnce(
  fleet: KeeperFleet,
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
    reached = fleet.holding(revision);
    if (secondsToHalf === 0 && 2 * reached >= size) secondsToHalf = seconds();
  }
  return { size, secondsToHalf, secondsToAll: reached === size ? seconds() : undefined };
}

/** Measures the time for a revision to be in force at every daemon; the slowest of a few revisions. */
export async function measureRevisionSpread(
  size: number,
  boundMs: number,
): Promise<RevisionSpread> {
  const fleet = new KeeperFleet(size);
  await fleet.start();
  const spreads: RevisionSpread[] = [];
  for (let revision = 2; revision < 2 + REVISIONS_TRIED; revision++) {
    spreads.push(await spreadOnce(fleet, size, revision, boundMs));
  }
  fleet.stop();
  spreads.sort((a, b) => (b.secondsToAll ?? Infinity) - (a.secondsToAll ?? Infinity));
  return spreads[0] as RevisionSpread;
}

/** Measures the calls of the store at rest, in an outage of `outageSeconds` and on its return. */
export async function measureStoreLoad(size: number, outageSeconds: number): Promise<StoreLoad> {
  const restSeconds = 60;
  const fleet = new KeeperFleet(size);
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

/** Measures how far rumours carry news of one member, with real queues and one message at a time. */
export function measureRumourSpread(size: number): RumourSpread {
  const random = createSeededRandom(13);
  const news = { kind: 'alive', member: memberAt(0, size) } as const;
  const queues = new Map<number, GossipQueue>();
  const learn = (index: number): void => {
    if (queues.has(index)) return;
    const queue = new GossipQueue();
    queue.add(news);
    queues.set(index, queue);
  };
  learn(0);
  let rounds = 0;
  let roundsToMost: number | undefined;
  for (; rounds < 20 * GOSSIP_TRANSMISSIONS; rounds++) {
    const active = [...queues.values()].filter((queue) => queue.size > 0);
    if (active.length === 0) break;
    active.forEach((queue) => {
      queue.take();
      learn(Math.floor(random.next() * size));
    });
    if (queues.size >= MOST * size) roundsToMost ??= rounds + 1;
  }
  return {
    size,
    secondsToMost:
      roundsToMost === undefined ? undefined : (roundsToMost * SPREAD_INTERVAL_MS) / 1000,
    missed: 1 - queues.size / size,
  };
}
