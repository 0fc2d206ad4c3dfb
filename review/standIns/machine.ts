import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import path from 'node:path';
import { createInterface } from 'node:readline';
import { call } from './call.js';
import type { Endpoint } from './connection.js';
import type { AnswerRules, UpstreamSettings } from './upstream.js';

/** Root of the repository, from the compiled file. */
export const ROOT = path.resolve(import.meta.dirname, '../../..');

const HEARTBEAT_INTERVAL_MS = 1500;
const READY_TIMEOUT_MS = 15_000;
const POLL_MS = 50;
const SLOTS = 40;
/** Bounds of the sites `lprc-tas` and `cairnlea-mesh`. */
const BOUNDS = { gracePeriodS: 6, retryBudgetRatio: 0.2, retryBudgetSlack: 48 };

/** Adds a line to the record of a case. */
export type Recorder = (event: string, fields?: object) => void;

/** What a machine needs to know of its deployment. */
export interface MachineOptions {
  name: string;
  address: string;
  service: string;
  /** Address of the platform's store. */
  store: string;
  /** Folder for the settings file. */
  folder: string;
  /** Program and parameters of the deploy file. */
  command: string[];
  record: Recorder;
}

interface Ports {
  app: number;
  outbound: number;
  ready: number;
  controlPlane: number;
  internal: number[];
}

/** Resolves after `ms` milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function freePorts(address: string, count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, async () => {
      const server = createServer();
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject);
        server.listen(0, address, resolve);
      });
      return server;
    }),
  );
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  servers.forEach((server) => server.close());
  return ports;
}

/** Fills in the placeholders `{{a.b}}` and `{{a.b|json}}` of the settings template. */
function renderTemplate(template: string, fields: unknown): string {
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_match, name: string, json?: string) => {
    const value = name
      .split('.')
      .reduce((table, key) => (table as Record<string, unknown>)[key], fields);
    return json ? JSON.stringify(value) : String(value);
  });
}

/** A `sidecar` machine: a daemon and an upstream, each as a process, and the upstream's heartbeats. */
export class Machine {
  readonly name: string;

  /** Ids of the requests that the upstream has run. */
  readonly runs = new Set<string>();

  private readonly targetId: string;

  private readonly born = Date.now();

  private sequence = 0;

  private ports: Ports = { app: 0, outbound: 0, ready: 0, controlPlane: 0, internal: [] };

  private daemon: ChildProcess | undefined;

  private upstream: ChildProcess | undefined;

  private heartbeats: NodeJS.Timeout | undefined;

  constructor(private readonly options: MachineOptions) {
    this.name = options.name;
    this.targetId = `i-${options.name}-${Math.random().toString(16).slice(2, 10)}`;
  }

  /** Address to which the clients of the machine send their requests. */
  get outbound(): Endpoint {
    return { address: this.options.address, port: this.ports.outbound };
  }

  /** Chooses free ports and writes the settings file. */
  async prepare(): Promise<void> {
    const { address, name, service, store } = this.options;
    const [app = 0, outbound = 0, ready = 0, controlPlane = 0, ...internal] = await freePorts(
      address,
      6,
    );
    this.ports = { app, outbound, ready, controlPlane, internal };
    const at = (port: number): string => `${address}:${port}`;
    const template = readFileSync(path.join(ROOT, 'platform/settings.template.yaml'), 'utf8');
    const settings = renderTemplate(template, {
      nodeName: name,
      zone: 'zone-a',
      ipAddress: address,
      service,
      appAddress: at(app),
      listen: { outbound: at(outbound), ready: at(ready), controlPlane: at(controlPlane) },
      internalPortRange: internal,
      platform: { address: store },
      bounds: BOUNDS,
    });
    writeFileSync(this.settingsFile, settings);
  }

  /** Starts the daemon with the command of the deploy file. */
  startDaemon(): void {
    const { command, record, name } = this.options;
    const [program = '', ...parameters] = command;
    const { PATH, HOME, LANG } = process.env;
    const daemon = spawn(program === 'node' ? process.execPath : program, parameters, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, SHALLOTCROFT_BOOT: this.settingsFile },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.daemon = daemon;
    const fatalLines: string[] = [];
    createInterface({ input: daemon.stdout }).on('line', () => undefined);
    createInterface({ input: daemon.stderr }).on('line', (line) => {
      if (line.startsWith('FATAL')) fatalLines.push(line);
    });
    daemon.on('close', (code, signal) => {
      record('daemon ended', { machine: name, pid: daemon.pid, code, signal, fatalLines });
    });
    record('daemon started', { machine: name, pid: daemon.pid });
  }

  /** Sends a signal to the daemon. */
  signalDaemon(signal: NodeJS.Signals): void {
    this.options.record(signal, { machine: this.name, pid: this.daemon?.pid });
    this.daemon?.kill(signal);
  }

  hasDaemonEnded(): boolean {
    return this.daemon?.exitCode !== null || this.daemon.signalCode !== null;
  }

  /** Starts the upstream; `answers` tells how it answers by path prefix. */
  async startUpstream(answers: Record<string, AnswerRules>): Promise<void> {
    const { address, record, name } = this.options;
    const settings: UpstreamSettings = {
      address,
      port: this.ports.app,
      targetId: this.targetId,
      answers,
    };
    const file = path.join(import.meta.dirname, 'upstream.js');
    const upstream = spawn(process.execPath, [file, JSON.stringify(settings)], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.upstream = upstream;
    await new Promise<void>((resolve, reject) => {
      upstream.once('exit', () => reject(new Error(`the upstream of ${name} has ended`)));
      createInterface({ input: upstream.stdout }).on('line', (line) => {
        const { event, ...fields } = JSON.parse(line) as { event: string; id?: string };
        if (event === 'listening') resolve();
        if (fields.id === undefined) return;
        this.runs.add(fields.id);
        record(event, { upstream: name, ...fields });
      });
    });
  }

  /** Sends heartbeats to the daemon beside the upstream until the machine is stopped. */
  startHeartbeats(): void {
    const { address, service } = this.options;
    const { controlPlane, app } = this.ports;
    const send = (): void => {
      this.sequence += 1;
      const body = {
        address: `${address}:${app}`,
        born: this.born,
        serviceInfo: { service, version: 'v1', zone: 'zone-a', slots: SLOTS },
        status: { state: 'ready', sequence: this.sequence, coldRemainingS: 0 },
      };
      const url = `/instances/${this.targetId}`;
      // A heartbeat that is not acknowledged is followed by the next one.
      call({ address, port: controlPlane, method: 'PUT', url, body: JSON.stringify(body) }).catch(
        () => undefined,
      );
    };
    send();
    this.heartbeats = setInterval(send, HEARTBEAT_INTERVAL_MS);
  }

  /** Asks the daemon whether it is ready, as the platform does; resolves with the status. */
  checkReadiness(): Promise<number> {
    return call({ address: this.options.address, port: this.ports.ready, url: '/readiness' });
  }

  async waitUntilReady(): Promise<void> {
    const until = Date.now() + READY_TIMEOUT_MS;
    while ((await this.checkReadiness()) !== 200) {
      if (Date.now() > until || this.hasDaemonEnded()) {
        throw new Error(`the daemon of ${this.name} is not ready`);
      }
      await sleep(POLL_MS);
    }
  }

  /** Ends the processes of the machine. */
  stop(): void {
    clearInterval(this.heartbeats);
    this.upstream?.removeAllListeners('exit');
    this.upstream?.kill('SIGKILL');
    if (!this.hasDaemonEnded()) this.daemon?.kill('SIGKILL');
  }

  private get settingsFile(): string {
    return path.join(this.options.folder, `${this.name}.yaml`);
  }
}
