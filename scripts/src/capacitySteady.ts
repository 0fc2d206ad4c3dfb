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
import type { RunningPeer, Traffic } from './capacityNetwork.js';
import { TickClock } from './tickClock.js';

/** Daemons that run and are measured; they respond in place of the rest of the fleet. */
const RUNNING_DAEMONS = 24;
const EVENT_COUNT = 20;
const EVENT_INTERVAL_MS = 1000;
/** Time after the last event in which its messages still count. */
const SETTLE_MS = 10_000;
const PEAK_WINDOW_MS = 10_000;
const LOSS_DURATION_MS = 300_000;
const JOIN_MS = 12_000;
const WARM_UP_MS = 60_000;

/** Load of one daemon per second. */
export interface DaemonRate {
  messagesPerSecond: number;
  jsonBytesPerSecond: number;
  cpuMsPerSecond: number;
}

/** Cost of one event for one daemon. */
export interface EventCost {
  messages: number;
  jsonBytes: number;
  cpuMs: number;
}

/** Cost of the loss of a data centre. */
export interface LossCost {
  lostMembers: number;
  /** Time from the loss until every running daemon lists all lost members as gone. */
  secondsToAgree: number | undefined;
  peak: DaemonRate;
  /** Time during which a daemon sent and received more than `budgetBytes`, in seconds. */
  secondsOverBudget: number;
}

/** Costs of membership and configuration in a fleet of `size`. */
export interface SteadyCost {
  size: number;
  tableBytes: number;
  configurationBytes: number;
  heapMegabytesPerDaemon: number;
  idle: DaemonRate;
  /** Cost of one member update. */
  perNews: EventCost;
  perRevision: EventCost;
  loss: LossCost;
}

interface RunningDaemon {
  peer: RunningPeer;
  membership: Membership;
  manager: ConfigurationManager;
}

interface Usage extends Traffic {
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

/** Fleet of `size` of which a few daemons run and are measured. */
class SteadyFleet {
  private readonly clock = new TickClock();

  private readonly random: RandomSource = createSeededRandom(7);

  private readonly network = new CapacityNetwork(this.clock, this.random);

  private readonly members: Member[];

  private readonly daemons: RunningDaemon[] = [];

  private revision = 1;

  private versionOffset = 0;

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

  /** Measures the cost of one member update for each daemon, beyond its idle load. */
  async memberUpdateCost(idle: DaemonRate): Promise<EventCost> {
    return this.eventCost(idle, async (event) => {
      const index = (event * 97) % this.size;
      this.versionOffset += 1;
      const old = this.members[index] as Member;
      const member: Member = { ...old, version: old.version + this.versionOffset };
      await this.sendUpdates([{ kind: 'alive', member }]);
    });
  }

  /** Measures the cost of one revision for each daemon, beyond its idle load. */
  async revisionCost(idle: DaemonRate): Promise<EventCost> {
    return this.eventCost(idle, async () => {
      const before = configurationAt(this.size, this.revision);
      this.revision += 1;
      const after = configurationAt(this.size, this.revision);
      const delta = createConfigurationDelta(before, after);
      const from = peerAddressOf(this.members[0] as Member);
      const request = { from, revision: this.revision, delta };
      await this.pick().peer.handle(ConfigurationMethod.push, request);
    });
  }

  /** Measures the loss of one data centre, whose members the rest of the fleet reports as gone. */
  async loseDataCentre(budgetBytes: number, overheadBytes: number): Promise<LossCost> {
    const lost = this.members.filter(
      (member, index) => index >= RUNNING_DAEMONS && index % DATA_CENTRES === 0,
    );
    lost.forEach(({ address }) => this.network.unreachable.add(address));
    const detectedOver = 10;
    const rates: DaemonRate[] = [];
    let agreedAfter: number | undefined;
    for (let second = 0; second * 1000 < LOSS_DURATION_MS; second++) {
      const found = lost.filter(
        (_, index) => second >= detectedOver && index % 3 === second - detectedOver,
      );
      await this.sendGone(found);
      rates.push(await this.rateOver(1000));
      if (agreedAfter === undefined && this.areAllGone(lost)) agreedAfter = second + 1;
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

  /** Returns the mean rates of the ten seconds with the most JSON. */
  private static peakOf(rates: DaemonRate[]): DaemonRate {
    const windows = PEAK_WINDOW_MS / 1000;
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

  /** Address of the last member, which serves its table to the others and is then detached. */
  private seedAddress(): PeerAddress {
    return peerAddressOf(this.members[this.size - 1] as Member);
  }

  private startDaemon(index: number): void {
    const self = this.members[index] as Member;
    const peer = this.network.attach(self.address, true);
    const dependencies = {
      clock: this.clock,
      random: this.random,
      peers: peer,
      methods: peer,
      logger: silentLogger,
    };
    const membership = createMembership({
      ...dependencies,
      self,
      bootstrap: async () => [this.seedAddress()],
    });
    const store = new MemoryStore(this.clock);
    const manager = createConfigurationManager({ ...dependencies, membership, store });
    const first = JSON.stringify(configurationAt(this.size, 1));
    store.swap('shallotcroft/configuration', 0, first).catch(() => undefined);
    this.daemons.push({ peer, membership, manager });
    membership
      .start()
      .then(() => manager.start())
      .catch(() => undefined);
  }

  private pick(): RunningDaemon {
    return this.daemons[Math.floor(this.random.next() * this.daemons.length)] as RunningDaemon;
  }

  private async sendUpdates(updates: MemberUpdate[]): Promise<void> {
    await this.pick().peer.handle(MembershipMethod.sync, { news: updates, wanted: [] });
  }

  private async sendGone(members: Member[]): Promise<void> {
    for (const { incarnation, version } of members) {
      // Earlier parts of the measurement may have raised the version of a member.
      const held = this.daemons[0]?.membership.memberOf(incarnation)?.version ?? version;
      await this.sendUpdates([{ kind: 'gone', incarnation, version: held, ageMs: 0 }]);
    }
  }

  private areAllGone(lost: Member[]): boolean {
    return this.daemons.every(({ membership }) =>
      lost.every(({ incarnation }) => membership.memberOf(incarnation)?.state === 'gone'),
    );
  }

  private readUsage(): Usage {
    const { user, system } = process.cpuUsage();
    return { ...this.network.traffic, cpuMs: (user + system) / 1000 };
  }

  private async eventCost(
    idle: DaemonRate,
    event: (index: number) => Promise<void>,
  ): Promise<EventCost> {
    const before = this.readUsage();
    let ownCpuMs = 0;
    for (let index = 0; index < EVENT_COUNT; index++) {
      const start = process.cpuUsage();
      await event(index);
      const spent = process.cpuUsage(start);
      ownCpuMs += (spent.user + spent.system) / 1000;
      await this.clock.advance(EVENT_INTERVAL_MS);
    }
    await this.clock.advance(SETTLE_MS);
    const after = this.readUsage();
    const seconds = (EVENT_COUNT * EVENT_INTERVAL_MS + SETTLE_MS) / 1000;
    const perDaemon = (from: number, to: number, idlePerSecond: number, share: number): number =>
      (((to - from) * share) / RUNNING_DAEMONS - idlePerSecond * seconds) / EVENT_COUNT;
    return {
      messages: perDaemon(before.messages, after.messages, idle.messagesPerSecond, 2),
      jsonBytes: perDaemon(before.jsonBytes, after.jsonBytes, idle.jsonBytesPerSecond, 2),
      cpuMs: perDaemon(before.cpuMs + ownCpuMs, after.cpuMs, idle.cpuMsPerSecond, 1),
    };
  }

  /** Measures rates over `ms`; each message counts twice, at its sender and at its receiver. */
  private async rateOver(ms: number): Promise<DaemonRate> {
    const before = this.readUsage();
    await this.clock.advance(ms);
    const after = this.readUsage();
    const daemonSeconds = (RUNNING_DAEMONS * ms) / 1000;
    return {
      messagesPerSecond: (2 * (after.messages - before.messages)) / daemonSeconds,
      jsonBytesPerSecond: (2 * (after.jsonBytes - before.jsonBytes)) / daemonSeconds,
      cpuMsPerSecond: (after.cpuMs - before.cpuMs) / daemonSeconds,
    };
  }
}

/** Measures a fleet of `size` when idle, for `seconds` of the manual clock, and then with events. */
export async function measureSteady(
  size: number,
  seconds: number,
  budgetBytes: number,
  overheadBytes: number,
): Promise<SteadyCost> {
  const fleet = new SteadyFleet(size);
  const { heapMegabytesPerDaemon, tableBytes } = await fleet.start();
  const idle = await fleet.idle(seconds);
  const perNews = await fleet.memberUpdateCost(idle);
  const perRevision = await fleet.revisionCost(idle);
  const loss = await fleet.loseDataCentre(budgetBytes, overheadBytes);
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
