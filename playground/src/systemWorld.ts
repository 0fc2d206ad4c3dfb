import {
  CONFIGURATION_KEY,
  MemoryDatabase,
  MemoryStore,
  createSeededRandom,
  silentLogger,
} from '@shallotcroft/core';
import type { Configuration, Logger } from '@shallotcroft/core';
import { createDaemonComponents } from '@shallotcroft/daemon';
import type { DaemonComponents } from '@shallotcroft/daemon';
import type { ArrivalHandler } from './callNetwork.js';
import { PausableClock } from './pausableClock.js';
import { PeerNetwork } from './peerNetwork.js';
import { SessionWorld } from './sessionWorld.js';
import type { SessionHost } from './sessionWorld.js';

const FIRST_PEER_PORT = 7001;
const DATA_CENTRES = ['north', 'south'];

/** A daemon of a system, as faults and operators reach it. */
interface SystemDaemon {
  name: string;
  clock: PausableClock;
  peerPort: number;
  parts: DaemonComponents;
  store: MemoryStore;
}

/** A session over every part of the daemons: membership, configuration, homes and calls. */
export class SystemWorld extends SessionWorld {
  readonly database = new MemoryDatabase(this.clock);

  /** The operators' session with the store. */
  readonly operators = new MemoryStore(this.clock, this.database);

  private readonly peerNetwork = new PeerNetwork(this.clock);

  private readonly daemons = new Map<string, SystemDaemon>();

  private started = 0;

  private storeDown = false;

  /** Writes a configuration as accepted; revisions count up from 1. */
  async accept(configuration: Configuration): Promise<void> {
    const held = await this.operators.get(CONFIGURATION_KEY);
    const revision = held.isOk() ? (held.value?.modRevision ?? 0) : 0;
    const swapped = await this.operators.swap(
      CONFIGURATION_KEY,
      revision,
      JSON.stringify(configuration),
    );
    this.log(`operators: revision ${configuration.revision} accepted: ${swapped.isOk()}`);
  }

  /** Takes the store away from every daemon, or gives it back. */
  setStoreDown(down: boolean): void {
    this.storeDown = down;
    this.daemons.forEach(({ store }) => store.setDown(down));
    this.log(`store: ${down ? 'down' : 'up'}`);
  }

  /** Ends daemon and target of a host without a word. */
  kill(name: string): void {
    const daemon = this.daemon(name);
    this.peerNetwork.disconnect(daemon.peerPort);
    daemon.clock.pause();
    const host = this.host(name);
    this.network.unlisten(host.daemon);
    this.network.unlisten(host.target);
    this.hosts.delete(name);
    this.daemons.delete(name);
    this.log(`${name}: killed`);
  }

  /** Stops the daemon of a host as planned: new work is refused, keys are handed over. */
  async leave(name: string): Promise<void> {
    const { parts } = this.daemon(name);
    this.hosts.delete(name);
    parts.registry.drain();
    await parts.atMostOnce.leave();
    this.log(`${name}: keys handed over`);
  }

  /** Hosts with a target that can be given work, as one daemon sees them. */
  servingSeenBy(name: string): string[] {
    const { membership } = this.daemon(name).parts;
    const serving = membership.members().filter(({ state }) => state === 'serving');
    return serving.map(({ host }) => host).sort();
  }

  /** Lets the target of a host end; its daemon goes on. */
  loseTarget(name: string): void {
    const host = this.host(name);
    this.network.unlisten(host.target);
    this.hosts.delete(name);
    this.log(`${name}: target lost`);
  }

  /** Writes the revision in force at each daemon. */
  logRevisions(): void {
    const revisions = [...this.daemons.values()].map(
      ({ name, parts }) => `${name} ${parts.status().revision}`,
    );
    this.log(`in force: ${revisions.join(', ')}`);
  }

  protected override listen(host: SessionHost): void {
    const daemon = this.startDaemon(host);
    const { guard, gateway, registry } = daemon.parts;
    Object.assign(host, { registry });
    const answerCall: ArrivalHandler = async ({ path, request, signal }) => {
      if (path.startsWith('/hop/')) return guard.handle(request, signal);
      return gateway.call(request, signal);
    };
    this.network.listen(host.daemon, answerCall, true);
    this.network.listen(host.target, this.createTarget(host), false);
  }

  private startDaemon(host: SessionHost): SystemDaemon {
    const clock = new PausableClock(this.clock);
    const peerPort = FIRST_PEER_PORT + this.started;
    this.started += 1;
    const transport = this.network.transportOf(host.name);
    const store = new MemoryStore(clock, this.database);
    store.setDown(this.storeDown);
    const parts = createDaemonComponents({
      settings: {
        host: host.name,
        dataCentre: DATA_CENTRES[this.started % DATA_CENTRES.length] as string,
        region: 'one',
        address: host.daemon.address,
        callPort: host.daemon.port,
        peerPort,
        store: undefined,
        bootstrap: [...this.daemons.values()].slice(0, 2).map((known) => ({
          address: known.name,
          port: known.peerPort,
        })),
        logLevel: 'error',
      },
      incarnation: `${host.name}.${this.started}`,
      clock,
      // A source of its own, so that a change at one daemon leaves the others' choices alone.
      random: createSeededRandom(this.started),
      logger: this.loggerOf(host.name),
      daemonTransport: transport,
      targetTransport: transport,
      ...this.peerNetwork.connect(peerPort, clock),
      store,
    });
    const daemon = { name: host.name, clock, peerPort, parts, store };
    this.daemons.set(host.name, daemon);
    this.startParts(parts).catch((error: unknown) => {
      this.log(`${host.name}: ${(error as Error).message}`);
    });
    return daemon;
  }

  // eslint-disable-next-line class-methods-use-this
  private async startParts({
    membership,
    configuration,
    bootstrap,
  }: DaemonComponents): Promise<void> {
    await membership.start();
    bootstrap?.start();
    await configuration.start();
  }

  private loggerOf(name: string): Logger {
    return {
      log: (level, message, fields) => {
        silentLogger.log(level, message, fields);
        if (level === 'error') this.log(`${name}: ${message}`);
      },
    };
  }

  private daemon(name: string): SystemDaemon {
    const daemon = this.daemons.get(name);
    if (!daemon) throw new Error(`no daemon ${name}`);
    return daemon;
  }
}
