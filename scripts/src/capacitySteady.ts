import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import {
  ConfigurationMethod,
  MembershipMethod,
  MemoryStore,
  createConfigurationDelta,
  createConfigurationManager,
  createMembership,
  createSeededRandom,
  peerAddressOf,
  silentLogger,
} from '@shallotcroft/core';
import type {
  ConfigurationManager,
  Member,
  MemberUpdate,
  Membership,
  PeerAddress,
  RandomSource,
} from '@shallotcroft/core';
import { DATA_CENTRES, configurationAt, memberAt } from './capacityFleet.js';
import { CapacityNetwork } from './capacityNetwork.js';
import type { Station, Traffic } from './capacityNetwork.js';
import { TickClock } from './tickClock.js';

const RUNNING_DAEMONS = 24;
const EVENTS = 20;
const EVENT_INTERVAL_MS = 1000;
const TAIL_MS = 10_000;
const LOSS_WINDOW_MS = 10_000;
const LOSS_DURATION_MS = 300_000;
const JOIN_MS = 12_000;
const WARM_UP_MS = 60_000;

/** What one daemon does in a second. */
export interface DaemonRate {
  messagesPerSecond: number;
  jsonBytesPerSecond: number;
  cpuMsPerSecond: number;
}

/** What one event costs one daemon. */
export interface EventCost {
  messages: number;
  jsonBytes: number;
  cpuMs: number;
}

/** How the day goes on which a data centre is lost. */
export interface LossCost {
  lostMembers: number;
  /** Time until every running daemon held all of them for gone, from the loss on. */
  secondsToAgree: number | undefined;
  peak: DaemonRate;
  /** Time during which a daemon sent and received more than `budgetBytes`, in seconds. */
  secondsOverBudget: number;
}

/** Costs of membership and configuration in a fleet of one size. */
export interface SteadyCost {
  size: number;
  tableBytes: number;
  configurationBytes: number;
  heapMegabytesPerDaemon: number;
  idle: DaemonRate;
  perNews: EventCost;
  perRevision: EventCost;
  loss: LossCost;
}

interface RunningDaemon {
  station: Station;
  membership: Membership;
  manager: ConfigurationManager;
}

interface Meter extends Traffic {
  cpuMs: number;
}

function collectGarbage(): void {
  setFlagsFromString('--expose_gc');
  (runInNewContext('gc') as () => void)();
}

function heapBytes(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

/** A fleet of one size with a few daemons that run, and what they cost. */
class SteadyFleet {
  private readonly clock = new TickClock();

  private readonly random: RandomSource = createSeededRandom(7);

  private readonly network = new CapacityNetwork(this.clock, this.random);

  private readonly members: Member[];

  private readonly daemons: RunningDaemon[] = [];

  private revision = 1;

  private run = 0;

  constructor(private readonly size: number) {
    this.members = Array.from({ length: size }, (_, index) => memberAt(index, size));
    this.members.forEach(({ address, incarnation }) => {
      this.network.incarnations.set(address, incarnation);
    });
  }

  async start(): Promise<{ heapMegabytesPerDaemon: number; tableBytes: number }> {
    const updates = this.members.map((member): MemberUpdate => ({ kind: 'alive', member }));
    this.serveTable(updates);
    const before = heapBytes();
    for (let index = 0; index < RUNNING_DAEMONS; index++) this.startDaemon(index);
    await this.clock.advance(JOIN_MS);
    this.network.detach(this.seedAddress().address);
    const heap = (heapBytes() - before) / RUNNING_DAEMONS;
    this.daemons.forEach(({ membership, manager }) => {
      const complete = membership.members().length === this.size && manager.current();
      if (!complete) throw new Error(`a daemon holds ${membership.members().length} members`);
    });
    return {
      heapMegabytesPerDaemon: heap / 2 ** 20,
      tableBytes: JSON.stringify(updates).length,
    };
  }

  async idle(seconds: number): Promise<DaemonRate> {
    await this.clock.advance(WARM_UP_MS);
    return this.rateOver(seconds * 1000);
  }

  /** Cost of one piece of news to each daemon, beyond what it does anyway. */
  async newsCost(idle: DaemonRate): Promise<EventCost> {
    return this.eventCost(idle, async (event) => {
      const index = (event * 97) % this.size;
      this.run += 1;
      const old = this.members[index] as Member;
      const member: Member = { ...old, version: old.version + this.run };
      await this.tell([{ kind: 'alive', member }]);
    });
  }

  /** Cost of one revision to each daemon, beyond what it does anyway. */
  async revisionCost(idle: DaemonRate): Promise<EventCost> {
    return this.eventCost(idle, async () => {
      const before = configurationAt(this.size, this.revision);
      this.revision += 1;
      const after = configurationAt(this.size, this.revision);
      const delta = createConfigurationDelta(before, after);
      const from = peerAddressOf(this.members[0] as Member);
      const request = { from, revision: this.revision, delta };
      await this.pick().station.handle(ConfigurationMethod.push, request);
    });
  }

  /** One data centre goes. The other daemons of the fleet find its members dead meanwhile. */
  async lose(budgetBytes: number, overheadBytes: number): Promise<LossCost> {
    const lost = this.members.filter(
      (member, index) => index >= RUNNING_DAEMONS && index % DATA_CENTRES === 0,
    );
    lost.forEach(({ address }) => this.network.dead.add(address));
    const detectedOver = 10;
    const rates: DaemonRate[] = [];
    let agreedAfter: number | undefined;
    for (let second = 0; second * 1000 < LOSS_DURATION_MS; second++) {
      const found = lost.filter(
        (_, index) => second >= detectedOver && index % 3 === second - detectedOver,
      );
      await this.tellGone(found);
      rates.push(await this.rateOver(1000));
      if (agreedAfter === undefined && this.holdsNoneOf(lost)) agreedAfter = second + 1;
    }
    const bytesOf = (rate: DaemonRate): number =>
      rate.jsonBytesPerSecond + rate.messagesPerSecond * overheadBytes;
    return {
      lostMembers: lost.length,
      secondsToAgree: agreedAfter,
      peak: SteadyFleet.peakOf(rates),
      secondsOverBudget: rates.filter((rate) => bytesOf(rate) > budgetBytes).length,
    };
  }

  stop(): void {
    this.daemons.forEach(({ membership, manager }) => {
      membership.stop();
      manager.stop();
    });
  }

  /** Highest average over ten seconds. */
  private static peakOf(rates: DaemonRate[]): DaemonRate {
    const windows = LOSS_WINDOW_MS / 1000;
    let peak: DaemonRate = { messagesPerSecond: 0, jsonBytesPerSecond: 0, cpuMsPerSecond: 0 };
    for (let first = 0; first + windows <= rates.length; first++) {
      const window = rates.slice(first, first + windows);
      const mean = (of: (rate: DaemonRate) => number): number =>
        window.reduce((sum, rate) => sum + of(rate), 0) / windows;
      const rate: DaemonRate = {
        messagesPerSecond: mean((one) => one.messagesPerSecond),
        jsonBytesPerSecond: mean((one) => one.jsonBytesPerSecond),
        cpuMsPerSecond: mean((one) => one.cpuMsPerSecond),
      };
      if (rate.jsonBytesPerSecond > peak.jsonBytesPerSecond) peak = rate;
    }
    return peak;
  }

  private serveTable(updates: MemberUpdate[]): void {
    const from = this.seedAddress();
    const seed = this.network.attach(from.address, false);
    const empty = { incarnation: 'seed', version: 0, from, news: [], rootHash: 0, carried: {} };
    seed.register(MembershipMethod.exchange, async () => ({ ...empty, unknownSender: false }));
    seed.register(MembershipMethod.pull, async () => ({ news: updates }));
  }

  /** The last member gives its table to the others, and is played by them from then on. */
  private seedAddress(): PeerAddress {
    return peerAddressOf(this.members[this.size - 1] as Member);
  }

  private startDaemon(index: number): void {
    const self = this.members[index] as Member;
    const station = this.network.attach(self.address, true);
    const parts = {
      clock: this.clock,
      random: this.random,
      peers: station,
      methods: station,
      logger: silentLogger,
    };
    const membership = createMembership({
      ...parts,
      self,
      bootstrap: async () => [this.seedAddress()],
    });
    const store = new MemoryStore(this.clock);
    const manager = createConfigurationManager({ ...parts, membership, store });
    const first = JSON.stringify(configurationAt(this.size, 1));
    store.swap('shallotcroft/configuration', 0, first).catch(() => undefined);
    this.daemons.push({ station, membership, manager });
    membership
      .start()
      .then(() => manager.start())
      .catch(() => undefined);
  }

  private pick(): RunningDaemon {
    return this.daemons[Math.floor(this.random.next() * this.daemons.length)] as RunningDaemon;
  }

  private async tell(updates: MemberUpdate[]): Promise<void> {
    await this.pick().station.handle(MembershipMethod.sync, { news: updates, wanted: [] });
  }

  private async tellGone(members: Member[]): Promise<void> {
    for (const { incarnation, version } of members) {
      // A record may have moved on in the earlier parts of the measurement.
      const held = this.daemons[0]?.membership.memberOf(incarnation)?.version ?? version;
      await this.tell([{ kind: 'gone', incarnation, version: held, ageMs: 0 }]);
    }
  }

  private holdsNoneOf(lost: Member[]): boolean {
    return this.daemons.every(({ membership }) =>
      lost.every(({ incarnation }) => membership.memberOf(incarnation)?.state === 'gone'),
    );
  }

  private read(): Meter {
    const { user, system } = process.cpuUsage();
    return { ...this.network.traffic, cpuMs: (user + system) / 1000 };
  }

  private async eventCost(
    idle: DaemonRate,
    event: (index: number) => Promise<void>,
  ): Promise<EventCost> {
    const before = this.read();
    let ownCpuMs = 0;
    for (let index = 0; index < EVENTS; index++) {
      const start = process.cpuUsage();
      await event(index);
      const spent = process.cpuUsage(start);
      ownCpuMs += (spent.user + spent.system) / 1000;
      await this.clock.advance(EVENT_INTERVAL_MS);
    }
    await this.clock.advance(TAIL_MS);
    const after = this.read();
    const seconds = (EVENTS * EVENT_INTERVAL_MS + TAIL_MS) / 1000;
    const perDaemon = (from: number, to: number, idlePerSecond: number, share: number): number =>
      (((to - from) * share) / RUNNING_DAEMONS - idlePerSecond * seconds) / EVENTS;
    return {
      messages: perDaemon(before.messages, after.messages, idle.messagesPerSecond, 2),
      jsonBytes: perDaemon(before.jsonBytes, after.jsonBytes, idle.jsonBytesPerSecond, 2),
      cpuMs: perDaemon(before.cpuMs + ownCpuMs, after.cpuMs, idle.cpuMsPerSecond, 1),
    };
  }

  /** Each message is sent by one daemon and received by another, so it counts at both. */
  private async rateOver(ms: number): Promise<DaemonRate> {
    const before = this.read();
    await this.clock.advance(ms);
    const after = this.read();
    const daemonSeconds = (RUNNING_DAEMONS * ms) / 1000;
    return {
      messagesPerSecond: (2 * (after.messages - before.messages)) / daemonSeconds,
      jsonBytesPerSecond: (2 * (after.jsonBytes - before.jsonBytes)) / daemonSeconds,
      cpuMsPerSecond: (after.cpuMs - before.cpuMs) / daemonSeconds,
    };
  }
}

/** Measures a fleet of `size` for `seconds` of the manual clock at rest, then under events. */
export async function measureSteady(
  size: number,
  seconds: number,
  budgetBytes: number,
  overheadBytes: number,
): Promise<SteadyCost> {
  const fleet = new SteadyFleet(size);
  const { heapMegabytesPerDaemon, tableBytes } = await fleet.start();
  const idle = await fleet.idle(seconds);
  const perNews = await fleet.newsCost(idle);
  const perRevision = await fleet.revisionCost(idle);
  const loss = await fleet.lose(budgetBytes, overheadBytes);
  fleet.stop();
  const configurationBytes = JSON.stringify(configurationAt(size, 1)).length;
  return {
    size,
    tableBytes,
    configurationBytes,
    heapMegabytesPerDaemon,
    idle,
    perNews,
    perRevision,
    loss,
  };
}
