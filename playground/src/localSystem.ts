import {
  CONFIGURATION_KEY,
  MemoryDatabase,
  MemoryStore,
  silentLogger,
  systemClock,
  systemRandom,
} from '@shallotcroft/core';
import type { Configuration, PeerAddress } from '@shallotcroft/core';
import { startDaemon } from '@shallotcroft/daemon';
import type { Daemon } from '@shallotcroft/daemon';
import { startTarget } from './target.js';
import type { Target } from './target.js';

const LOOPBACK = '127.0.0.1';
const POLL_MS = 20;

/** A daemon and its target in this process, with real connections. */
export interface LocalHost {
  name: string;
  daemon: Daemon;
  target: Target;
  /** Stops the daemon as planned, then the target. */
  stop(): Promise<void>;
}

/** Daemons and targets in one process that communicate over loopback connections. */
export class LocalSystem {
  private readonly database = new MemoryDatabase(systemClock);

  private readonly bootstrap: PeerAddress[] = [];

  constructor(
    private readonly configuration: Configuration,
    private readonly workMs: number,
  ) {}

  /** Writes the configuration to the store. */
  async accept(): Promise<void> {
    const store = new MemoryStore(systemClock, this.database);
    await store.swap(CONFIGURATION_KEY, 0, JSON.stringify(this.configuration));
  }

  /** Starts a daemon and a target of `service`; later daemons bootstrap from it. */
  async startHost(name: string, service: string): Promise<LocalHost> {
    const daemon = await startDaemon({
      settings: {
        host: name,
        dataCentre: 'local',
        region: 'local',
        address: LOOPBACK,
        callPort: 0,
        peerPort: 0,
        store: undefined,
        bootstrap: [...this.bootstrap],
        logLevel: 'error',
      },
      clock: systemClock,
      random: systemRandom,
      logger: silentLogger,
      store: new MemoryStore(systemClock, this.database),
    });
    const { callPort, peerPort } = daemon.settings;
    this.bootstrap.push({ address: LOOPBACK, port: peerPort });
    const target = await startTarget({
      service,
      address: LOOPBACK,
      port: 0,
      daemon: { address: LOOPBACK, port: callPort },
      slots: this.configuration.services[service]?.slots ?? 1,
      calls: this.callsOf(service),
    });
    return {
      name,
      daemon,
      target,
      stop: async () => {
        await daemon.stop();
        await target.stop();
      },
    };
  }

  /** Waits until the daemon of `host` sees at least `count` serving targets. */
  static async waitForTargets(host: LocalHost, count: number): Promise<void> {
    const { membership } = host.daemon.components;
    const servingCount = (): number =>
      membership.members().filter((member) => member.state === 'serving').length;
    while (servingCount() < count) await systemClock.sleep(POLL_MS);
  }

  private callsOf(service: string) {
    const policies = Object.values(this.configuration.calls).filter(
      (policy) => policy.service === service,
    );
    return Object.fromEntries(
      policies.map(({ name, children }) => [
        name.slice(service.length + 1),
        { workMs: this.workMs, children },
      ]),
    );
  }
}
