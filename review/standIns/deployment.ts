import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { Machine, ROOT, sleep } from './machine.js';
import type { Recorder } from './machine.js';
import { Store } from './store.js';

const MS_PER_S = 1000;
const STABILITY_WINDOW_MS = 3000;
/** Time for the daemons to listen before the first heartbeat, and for their ends to be recorded. */
const START_MS = 500;
const END_MS = 200;
const LAST_OCTET = 250;
const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

/** A route of the configuration, to one service. */
export interface RouteEntry {
  name: string;
  prefix: string;
  service: string;
  kind: 'idempotent' | 'non_idempotent';
  timeoutS: number;
}

/** What a case does; resolves with the breaches of its rule. */
export type Play = (deployment: Deployment) => Promise<object[]>;

function randomOctet(): number {
  return 1 + Math.floor(Math.random() * LAST_OCTET);
}

/** A small deployment on loopback addresses: the store, machines, and the record of a case. */
export class Deployment {
  private readonly machines: Machine[] = [];

  private readonly lines: string[] = [];

  private readonly startedAt = Date.now();

  private readonly store = new Store();

  private readonly folder = mkdtempSync(path.join(tmpdir(), 'shallotcroft-review-'));

  /** Addresses of its own for each run keep the fixed port for metrics free. */
  private readonly addressPrefix = `127.${randomOctet()}.${randomOctet()}`;

  private readonly command: string[];

  constructor() {
    const deployFile = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
    const run = /^run = "(.*)"$/m.exec(deployFile)?.[1];
    if (run === undefined) throw new Error('deploy/system.toml has no run line');
    this.command = run.split(' ');
  }

  /** Adds a line to the record, with the time since the start in seconds. */
  readonly record: Recorder = (event, fields = {}) => {
    const at = ((Date.now() - this.startedAt) / MS_PER_S).toFixed(3);
    this.lines.push(`${at} ${event} ${JSON.stringify(fields)}`);
  };

  async start(): Promise<void> {
    await this.store.start(`${this.addressPrefix}.1`);
  }

  /** Adds a machine without its processes. */
  async addMachine(name: string, service: string): Promise<Machine> {
    const machine = new Machine({
      name,
      address: `${this.addressPrefix}.${this.machines.length + 2}`,
      service,
      store: this.store.endpoint,
      folder: this.folder,
      command: this.command,
      record: this.record,
    });
    await machine.prepare();
    this.machines.push(machine);
    return machine;
  }

  /** Writes a configuration with these routes to the store. */
  configure(version: number, routes: RouteEntry[]): void {
    const routeResources = routes.map(({ name, prefix, service, kind, timeoutS }, priority) => ({
      resourceType: 'routes',
      metadata: { name },
      specification: {
        host: 'clubs.example',
        pathPrefix: prefix,
        kind,
        timeoutS,
        targetLatencyS: 1.2,
        priority,
        service,
        maxAttempts: 2,
      },
    }));
    const serviceResources = [...new Set(routes.map(({ service }) => service))].map((name) => ({
      resourceType: 'services',
      metadata: { name },
      specification: {
        healthCheckPath: '/health',
        maxConnections: 1042,
        protocol: 'h1',
        tls: false,
      },
    }));
    const limits = {
      resourceType: 'limits',
      metadata: {},
      specification: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 67_108_864,
        headerTimeoutS: 3,
        idleTimeoutS: 15,
      },
    };
    this.store.configure({ version, resources: [...routeResources, ...serviceResources, limits] });
    this.record('configuration acknowledged', { version });
  }

  /** Starts the daemons and the heartbeats; resolves when all machines are in touch. */
  async startDaemons(): Promise<void> {
    this.machines.forEach((machine) => machine.startDaemon());
    await sleep(START_MS);
    this.machines.forEach((machine) => machine.startHeartbeats());
    await Promise.all(this.machines.map((machine) => machine.waitUntilReady()));
    await sleep(STABILITY_WINDOW_MS + START_MS);
  }

  /** Ends all processes that this deployment started and deletes its files. */
  async stop(): Promise<void> {
    this.machines.forEach((machine) => machine.stop());
    this.store.stop();
    await sleep(END_MS);
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Writes the record to a file. */
  writeRecord(file: string): void {
    writeFileSync(file, `${this.lines.join('\n')}\n`);
  }
}

async function playCase(deployment: Deployment, play: Play): Promise<number> {
  try {
    await deployment.start();
    const breaches = await play(deployment);
    breaches.forEach((breach) => deployment.record('BREACH', breach));
    deployment.record('result', { trouble: process.env.TROUBLE, breaches: breaches.length });
    process.stdout.write(`breaches of the rule: ${breaches.length}\n`);
    return breaches.length > 0 ? EXIT_BROKEN : EXIT_HELD;
  } catch (error) {
    const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
    deployment.record('the case could not run', { reason });
    process.stderr.write(`${reason}\n`);
    return EXIT_NOT_RUN;
  }
}

/** Plays case `number` and exits: 1 if its rule was broken, 0 if it held, 2 if it could not run. */
export async function runCase(number: number, play: Play): Promise<never> {
  let deployment: Deployment | undefined;
  const fail = (error: unknown): void => {
    process.stderr.write(`the case could not run: ${String(error)}\n`);
    Promise.resolve(deployment?.stop()).finally(() => process.exit(EXIT_NOT_RUN));
  };
  process.on('uncaughtException', fail);
  process.on('unhandledRejection', fail);
  deployment = new Deployment();
  const exitCode = await playCase(deployment, play);
  await deployment.stop();
  deployment.writeRecord(path.join(ROOT, 'review', String(number), 'record.txt'));
  return process.exit(exitCode);
}
