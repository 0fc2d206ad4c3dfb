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

/** A daemon with the parts through which faults are injected. */
interface SystemDaemon {
  name: string;
  clock: PausableClock;
  peerPort: number;
  components: DaemonComponents;
  store: MemoryStore;
}

/** A session with complete daemons: membership, configuration, homes and calls. */
export class SystemWorld extends SessionWorld {
  readonly database = new MemoryDatabase(this.clock);

  /** Store client of the operators. */
  readonly operators = new MemoryStore(this.clock, this.database);

  private readonly peerNetwork = new PeerNetwork(this.clock);

  private readonly daemons = new Map<string, SystemDaemon>();

  private startedDaemons = 0;

  private storeDown = false;

  /** Writes a configuration to the store; its `revision` must increase from 1. */
  async accept(configuration: Configuration): Promise<void> {
    const stored = await this.operators.get(CONFIGURATION_KEY);
    const revision = stored.isOk() ? (stored.value?.modRevision ?? 0) : 0;
    const swapped = await this.operators.swap(
      CONFIGURATION_KEY,
      revision,
      JSON.stringify(configuration),
    );
    this.log(`operators: revision ${configuration.revision} accepted: ${swapped.isOk()}`);
  }

  /** Makes the store unreachable for every daemon, or reachable again. */
  setStoreDown(down: boolean): void {
    this.storeDown = down;
    this.daemons.forEach(({ store }) => store.setDown(down));
    this.log(`store: ${down ? 'down' : 'up'}`);
  }

  /** Stops the daemon and the target of a host abruptly, without leaving. */
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

  /** Stops the daemon of a host as planned: it rejects new calls and hands over its shards. */
  async leave(name: string): Promise<void> {
    const { components } = this.daemon(name);
    this.hosts.delete(name);
    components.registry.drain();
    await components.atMostOnce.leave();
    this.log(`${name}: keys handed over`);
  }

  /** Names of the hosts whose targets are serving, as seen by the daemon of host `name`. */
  servingHostsKnownTo(name: string): string[] {
    const { membership } = this.daemon(name).components;
    const serving = membership.members().filter(({ state }) => state === 'serving');
    return serving.map(({ host }) => host).sort();
  }

  /** Stops the target of a host; its daemon keeps running. */
  stopTarget(name: string): void {
    const host = this.host(name);
    this.network.unlisten(host.target);
    this.hosts.delete(name);
    this.log(`${name}: target stopped`);
  }

  /** Adds the revision in force at each daemon to the transcript. */
  logRevisions(): void {
    const revisions = [...this.daemons.values()].map(
      ({ name, components }) => `${name} ${components.status().revision}`,
    );
    this.log(`in force: ${revisions.join(', ')}`);
  }

  protected override listen(host: SessionHost): void {
    const daemon = this.startDaemon(host);
    const { guard, gateway, registry } = daemon.components;
    Object.assign(host, { registry });
    const handleCall: ArrivalHandler = async ({ path, request, signal }) => {
      if (path.startsWith('/hop/')) return guard.handle(request, signal);
      return gateway.call(request, signal);
    };
    this.network.listen(host.daemon, handleCall, true);
    this.network.listen(host.target, this.createTarget(host), false);
  }

  private startDaemon(host: SessionHost): SystemDaemon {
    const clock = new PausableClock(this.clock);
    const peerPort = FIRST_PEER_PORT + this.startedDaemons;
    this.startedDaemons += 1;
    const transport = this.network.transportOf(host.name);
    const store = new MemoryStore(clock, this.database);
    store.setDown(this.storeDown);
    const components = createDaemonComponents({
      settings: {
        host: host.name,
        dataCentre: DATA_CENTRES[this.startedDaemons % DATA_CENTRES.length] as string,
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
      incarnation: `${host.name}.${this.startedDaemons}`,
      clock,
      // Each daemon has its own random source, so that a change at one does not affect the others.
      random: createSeededRandom(this.startedDaemons),
      logger: this.loggerOf(host.name),
      daemonTransport: transport,
      targetTransport: transport,
      ...this.peerNetwork.connect(peerPort, clock),
      store,
    });
    const daemon = { name: host.name, clock, peerPort, components, store };
    this.daemons.set(host.name, daemon);
    this.startComponents(components).catch((error: unknown) => {
      this.log(`${host.name}: start failed: ${(error as Error).message}`);
    });
    return daemon;
  }

  // eslint-disable-next-line class-methods-use-this
  private async startComponents({
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
    if (!daemon) throw new Error(`no daemon at host ${name}`);
    return daemon;
  }
}
