import { silentLogger } from '../logger.js';
import { ManualClock } from '../manualClock.js';
import type { Member } from '../member.js';
import { createMembership } from '../membership.js';
import type { Membership } from '../membership.js';
import { peerAddressOf } from '../membershipContext.js';
import { MemoryNetwork } from '../memoryNetwork.js';
import type { MemoryPeer } from '../memoryNetwork.js';
import type { PeerAddress } from '../peer.js';
import { createSeededRandom } from '../random.js';
import type { RandomSource } from '../random.js';
import { PausableClock } from './pausableClock.js';

/** One daemon of a fleet in memory. */
export interface FleetDaemon {
  name: string;
  clock: PausableClock;
  peer: MemoryPeer;
  membership: Membership;
  state: 'up' | 'paused' | 'ended';
}

/** Makes the record of a daemon for tests. */
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
const bootstrap: PeerAddress[] = ['10.0.0.1', '10.0.0.2'].map((address) => ({
  address,
  port: 7002,
}));

/** Ends a daemon without a word. */
export function kill(daemon: FleetDaemon): void {
  daemon.peer.detach();
  daemon.membership.stop();
  Object.assign(daemon, { state: 'ended' });
}

/** Lets a daemon stand still, unaware. */
export function pause(daemon: FleetDaemon): void {
  daemon.clock.pause();
  Object.assign(daemon, { state: 'paused' });
}

/** Lets a daemon go on. */
export function resume(daemon: FleetDaemon): void {
  Object.assign(daemon, { state: 'up' });
  daemon.clock.resume();
}

/** A fleet of daemons in memory, on one manual clock, with faults. */
export class Fleet {
  readonly clock = new ManualClock();

  readonly network = new MemoryNetwork(this.clock);

  readonly random: RandomSource;

  readonly daemons: FleetDaemon[] = [];

  /** Addresses on the far side of a partition. */
  readonly farSide = new Set<string>();

  private started = 0;

  constructor(seed: number) {
    this.random = createSeededRandom(seed);
    this.network.reach = (from, to) => this.isReachable(from, to);
  }

  /** Starts a daemon at an address; whatever was there before ends. */
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
      peers: peer,
      methods: peer,
      bootstrap: async () => bootstrap,
      logger: silentLogger,
    });
    const daemon: FleetDaemon = { name, clock, peer, membership, state: 'up' };
    this.daemons.push(daemon);
    const start = membership.start();
    start.catch(() => undefined);
    await ManualClock.settle();
    return daemon;
  }

  /** Ends a daemon as planned. */
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

  /** Names that a daemon holds for live, in order. */
  static viewOf(daemon: FleetDaemon): string[] {
    const live = daemon.membership.members().filter((member) => member.state !== 'gone');
    return live.map((member) => member.incarnation).sort();
  }

  /** Names that ought to be live, in order. */
  liveNames(): string[] {
    return this.alive()
      .map((daemon) => daemon.name)
      .sort();
  }

  /** Milliseconds until every view is right; undefined when that takes longer than `boundMs`. */
  async timeToAgree(boundMs: number): Promise<number | undefined> {
    const startedAt = this.clock.now();
    while (this.clock.now() - startedAt <= boundMs) {
      if (this.agrees()) return this.clock.now() - startedAt;
      await this.clock.advance(200);
    }
    return undefined;
  }

  agrees(): boolean {
    const right = this.liveNames().join();
    return this.alive().every((daemon) => Fleet.viewOf(daemon).join() === right);
  }

  private isReachable(from: PeerAddress, to: PeerAddress): boolean {
    const paused = [...this.daemonAt(from.address), ...this.daemonAt(to.address)].some(
      (daemon) => daemon.state === 'paused',
    );
    return !paused && this.farSide.has(from.address) === this.farSide.has(to.address);
  }
}
