import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { closeSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { EventRecord } from './eventRecord.js';

const root = path.resolve(import.meta.dirname, '../../..');
const START_TIMEOUT_MS = 20_000;
const POLL_MS = 25;

/** What the platform tells a daemon in its settings. */
export interface DaemonOptions {
  name: string;
  zone: string;
  address: string;
  service: string;
  appAddress: string;
  /** Address of the platform's store. */
  store: string;
  /** Folder for the settings file and the log. */
  folder: string;
  record: EventRecord;
  bounds: object;
}

async function freePorts(address: string, count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(
    servers.map(
      (server) =>
        new Promise<void>((resolve, reject) => {
          server.once('error', reject);
          server.listen(0, address, resolve);
        }),
    ),
  );
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
}

/** Program and arguments of the `run` line of the deploy file. */
function runCommand(): [string, ...string[]] {
  const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
  const line = /^run = "(.*)"$/m.exec(text)?.[1];
  if (line === undefined) throw new Error('deploy/system.toml has no run line');
  return line.split(' ') as [string, ...string[]];
}

function valueAt(fields: unknown, name: string): unknown {
  return name.split('.').reduce((value, key) => (value as Record<string, unknown>)[key], fields);
}

/** Fills the template of the settings as the platform does; the metrics get a free port. */
function settingsText(fields: { metricsPort: number | undefined }): string {
  const template = readFileSync(path.join(root, 'platform/settings.template.yaml'), 'utf8');
  return template
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_match, name: string, json?: string) => {
      const value = valueAt(fields, name);
      return json ? JSON.stringify(value) : String(value);
    })
    .replace(/^(\s*metricsPort:).*$/m, `$1 ${fields.metricsPort}`);
}

/** A daemon in a process of its own, started as the deploy file tells. */
export class Daemon {
  /** Addresses at which it listens. */
  outbound = '';

  ready = '';

  controlPlane = '';

  /** Resolves with the time at which the present process has ended. */
  ended: Promise<number> = Promise.resolve(0);

  private child: ChildProcess | undefined;

  private readonly settingsFile: string;

  constructor(private readonly options: DaemonOptions) {
    this.settingsFile = path.join(options.folder, `${options.name}.yaml`);
  }

  get name(): string {
    return this.options.name;
  }

  /** Chooses the ports and writes the settings file. */
  async prepare(): Promise<void> {
    const { address, name, zone, service, appAddress, store, bounds } = this.options;
    const ports = await freePorts(address, 6);
    this.outbound = `${address}:${ports[0]}`;
    this.ready = `${address}:${ports[1]}`;
    this.controlPlane = `${address}:${ports[2]}`;
    const { outbound, ready, controlPlane } = this;
    const fields = {
      nodeName: name,
      zone,
      ipAddress: address,
      service,
      appAddress,
      listen: { outbound, ready, controlPlane },
      internalPortRange: [ports[3], ports[4]],
      metricsPort: ports[5],
      platform: { address: store },
      bounds,
    };
    writeFileSync(this.settingsFile, settingsText(fields));
  }

  start(): void {
    const { folder, name, record } = this.options;
    const [program, ...words] = runCommand();
    const log = openSync(path.join(folder, `${name}.log`), 'a');
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, words, {
      cwd: root,
      env: { PATH, HOME, LANG, SHALLOTCROFT_BOOT: this.settingsFile },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    record.add('started', { daemon: name });
    this.child = child;
    this.ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        record.add('ended', { daemon: name, code, signal });
        resolve(Date.now());
      });
    });
  }

  /** Sends a signal to the process. */
  signal(signal: 'SIGTERM' | 'SIGKILL'): void {
    this.child?.kill(signal);
    this.options.record.add('signal', { daemon: this.name, signal });
  }

  /** Ends the process without waiting for it. */
  kill(): void {
    this.child?.kill('SIGKILL');
  }

  /** Ends the process if it still runs. */
  async end(): Promise<void> {
    const { child } = this;
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    child.kill('SIGKILL');
    await this.ended;
  }

  /** Waits until the process answers readiness checks. */
  becomeReachable(): Promise<void> {
    return this.waitFor((status) => status !== 0);
  }

  /** Waits until the process says that it is ready. */
  becomeReady(): Promise<void> {
    return this.waitFor((status) => status === 200);
  }

  private async waitFor(isMet: (status: number) => boolean): Promise<void> {
    const endsAt = Date.now() + START_TIMEOUT_MS;
    while (Date.now() < endsAt) {
      if (isMet(await this.readiness())) return;
      await sleep(POLL_MS);
    }
    throw new Error(`${this.name} did not start in time`);
  }

  /** Status of a readiness check, 0 without an answer. */
  private readiness(): Promise<number> {
    return new Promise((resolve) => {
      const outgoing = get(`http://${this.ready}/readiness`, { agent: false }, (incoming) => {
        incoming.resume();
        resolve(incoming.statusCode ?? 0);
      });
      outgoing.on('error', () => resolve(0));
    });
  }
}
