import { mkdtempSync, rmSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Daemon } from './daemon.js';
import { PlatformStore } from './store.js';
import { EventRecord } from './eventRecord.js';
import { Upstream } from './upstream.js';
import type { UpstreamHandler } from './upstream.js';

/** Bounds of `sites/cairnlea-mesh.toml`. */
const BOUNDS = { gracePeriodS: 6, retryBudgetRatio: 0.2, retryBudgetSlack: 49 };
/** Limits and a service as `fleetbench wire` prints them. */
const LIMITS = {
  maxHeaderBytes: 16384,
  maxBodyBytes: 67108864,
  headerTimeoutS: 3,
  idleTimeoutS: 15,
};
const SERVICE = { healthCheckPath: '/health', maxConnections: 934, protocol: 'h1', tls: false };
const ZONE = 'scot-central-a';
const STORE_HOST = '127.0.0.1';
/** Last number of the address of the first machine; each machine has a loopback address. */
const FIRST_ADDRESS = 11;
/** Time until all daemons know each other's upstreams, in milliseconds. */
const SETTLE_MS = 2500;

/** A route as the operator writes it, with its name. */
export interface RouteText {
  name: string;
  host: string;
  pathPrefix: string;
  kind: 'idempotent' | 'non_idempotent';
  timeoutS: number;
  targetLatencyS: number;
  priority: number;
  maxAttempts: number;
  service?: string;
  trafficSplit?: { service: string; weight: number }[];
}

/** A machine: its daemon and the upstream beside it. */
export interface Machine {
  daemon: Daemon;
  upstream: Upstream;
}

interface MachineText {
  service: string;
  handler: UpstreamHandler;
}

/** A small deployment: the store, and machines with a daemon and an upstream each. */
export class Deployment {
  readonly record = new EventRecord();

  readonly machines: Machine[] = [];

  private readonly store = new PlatformStore();

  private readonly folder = mkdtempSync(path.join(os.tmpdir(), 'shallotcroft-review-'));

  private services: string[] = [];

  /** Starts the store and a machine for each entry of `machines`. */
  async start(routes: RouteText[], machines: MachineText[]): Promise<void> {
    this.services = [...new Set(machines.map(({ service }) => service))];
    this.configure(1, routes);
    for (const machine of machines) await this.addMachine(machine);
    await Promise.all(this.machines.map(({ daemon }) => daemon.becomeReady()));
    await sleep(SETTLE_MS);
  }

  /** The machine with an index. */
  machine(index: number): Machine {
    const machine = this.machines[index];
    if (!machine) throw new Error(`there is no machine ${index}`);
    return machine;
  }

  /** Writes a configuration as the operator does. */
  configure(version: number, routes: RouteText[]): void {
    const resources = [
      ...routes.map(({ name, ...specification }) => ({
        resourceType: 'routes',
        metadata: { name },
        specification,
      })),
      ...this.services.map((name) => ({
        resourceType: 'services',
        metadata: { name },
        specification: SERVICE,
      })),
      { resourceType: 'limits', metadata: {}, specification: LIMITS },
    ];
    this.record.add('config', { version });
    this.store.write('op/config', JSON.stringify({ version, resources }));
  }

  /** Ends all processes and stand-ins. */
  async stop(): Promise<void> {
    await Promise.all(this.machines.map(({ daemon }) => daemon.end()));
    this.machines.forEach(({ upstream }) => upstream.stop());
    this.store.stop();
    rmSync(this.folder, { recursive: true, force: true });
  }

  private async addMachine({ service, handler }: MachineText): Promise<void> {
    const number = this.machines.length + 1;
    const address = `127.0.0.${FIRST_ADDRESS + this.machines.length}`;
    const common = { service, zone: ZONE, address, record: this.record };
    const upstream = new Upstream({ ...common, id: `i-${number}`, handler });
    await upstream.start();
    const storeAddress = await this.store.open(STORE_HOST);
    const daemon = new Daemon({
      ...common,
      name: `sidecar-${number}`,
      appAddress: upstream.appAddress,
      store: storeAddress,
      folder: this.folder,
      bounds: BOUNDS,
    });
    this.machines.push({ upstream, daemon });
    await daemon.prepare();
    daemon.start();
    await daemon.becomeReachable();
    await upstream.report(daemon.controlPlane);
  }
}
