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

/** A daemon and its target in this process, on real connections. */
export interface LocalHost {
  name: string;
  daemon: Daemon;
  target: Target;
  /** Leaves as planned: the daemon first, then the target. */
  stop(): Promise<void>;
}

/** Daemons and targets in one process, which talk over loopback as processes of their own would. */
export class LocalSystem {
  private readonly database = new MemoryDatabase(systemClock);

  private readonly bootstrap: PeerAddress[] = [];

  constructor(
    private readonly configuration: Configuration,
    private readonly workMs: number,
  ) {}

  /** Makes the configuration the accepted one. */
  async accept(): Promise<void> {
    const store = new MemoryStore(systemClock, this.database);
    await store.swap(CONFIGURATION_KEY, 0, JSON.stringify(this.configuration));
  }

  /** Starts a daemon and a target of `service`. */
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

  /** Waits until `host` knows `count` targets that serve. */
  static async waitForTargets(host: LocalHost, count: number): Promise<void> {
    const { membership } = host.daemon.components;
    const serving = (): number => membership.members().filter((m) => m.state === 'serving').length;
    while (serving() < count) await systemClock.sleep(20);
  }

  private callsOf(service: string) {
    const policies = Object.values(this.configuration.calls).filter((c) => c.service === service);
    return Object.fromEntries(
      policies.map(({ name, children }) => [
        name.slice(service.length + 1),
        { workMs: this.workMs, children },
      ]),
    );
  }
}
