import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { stringify } from 'yaml';
import { CONFIGURATION_KEY, EtcdStore, systemClock, systemRandom } from '@shallotcroft/core';
import type { Configuration, LogLevel, PeerAddress } from '@shallotcroft/core';
import { startProcess } from './processes.js';
import type { PlaygroundProcess } from './processes.js';
import type { LoggedExecution, TargetCall } from './target.js';

const LOOPBACK = '127.0.0.1';
const daemonProgram = fileURLToPath(import.meta.resolve('@shallotcroft/daemon/main'));
const storeProgram = fileURLToPath(new URL('./storeMain.js', import.meta.url));
const targetProgram = fileURLToPath(new URL('./targetMain.js', import.meta.url));

/** Options of `startDeployment`. */
export interface DeploymentPlan {
  configuration: Configuration;
  dataCentres: string[];
  /** Number of targets per service. */
  targetsPerService: number;
  /** Duration of the work of one call, in milliseconds. */
  workMs: number;
  /** Whether calls beyond the slots of a target queue at the target. */
  queueing?: boolean;
  logLevel: LogLevel;
  /** Whether targets send interim responses. */
  interimAnswers?: boolean;
  /** Whether targets log all executions, which slows them down. */
  logsExecutions?: boolean;
}

/** A daemon and the target beside it, each a process. */
export interface DeployedHost {
  host: string;
  service: string;
  dataCentre: string;
  callPort: number;
  peer: PeerAddress;
  daemon: PlaygroundProcess;
  target: PlaygroundProcess;
}

/** The process of the store stand-in. */
export interface DeployedStore {
  process: PlaygroundProcess;
  endpoint: string;
  /** Base URL of POST /admin/faults. */
  adminEndpoint: string;
}

/** A running deployment; each daemon and target is a process. */
export interface Deployment {
  store: DeployedStore;
  hosts: DeployedHost[];
  hostsOf(service: string): DeployedHost[];
  /** Executions begun so far; empty unless the plan has `logsExecutions`. */
  executions(): LoggedExecution[];
  /** Stops all processes gracefully and removes the temporary files. */
  stop(): Promise<void>;
}

interface ListeningStore {
  listening: number;
  admin: number;
}

interface ListeningDaemon {
  listening: { callPort: number; peerPort: number };
}

function targetCalls(plan: DeploymentPlan, service: string): Record<string, TargetCall> {
  const policies = Object.values(plan.configuration.calls).filter(
    (policy) => policy.service === service,
  );
  return Object.fromEntries(
    policies.map((policy) => [
      policy.name.slice(service.length + 1),
      { workMs: plan.workMs, children: policy.children },
    ]),
  );
}

async function startStore(): Promise<DeployedStore> {
  const process = await startProcess('store', storeProgram, []);
  const { listening, admin } = process.ready as ListeningStore;
  return {
    process,
    endpoint: `http://${LOOPBACK}:${listening}`,
    adminEndpoint: `http://${LOOPBACK}:${admin}`,
  };
}

async function writeConfiguration(
  store: DeployedStore,
  configuration: Configuration,
): Promise<void> {
  const writer = new EtcdStore({
    endpoints: [store.endpoint],
    clock: systemClock,
    random: systemRandom,
  });
  const swapped = await writer.swap(CONFIGURATION_KEY, 0, JSON.stringify(configuration));
  await writer.close();
  if (swapped.isErr()) {
    throw new Error(`the configuration could not be written: ${swapped.error.message}`);
  }
}

/** Starts the store, the daemons and the targets of a plan on loopback. */
export async function startDeployment(plan: DeploymentPlan): Promise<Deployment> {
  const folder = mkdtempSync(path.join(tmpdir(), 'shallotcroft-'));
  const executionLog = path.join(folder, 'executions.log');
  writeFileSync(executionLog, '');
  const hosts: DeployedHost[] = [];
  const store = await startStore();
  await writeConfiguration(store, plan.configuration);

  function writeSettings(name: string, settings: unknown): string {
    const file = path.join(folder, `${name}.yaml`);
    writeFileSync(file, stringify(settings));
    return file;
  }

  async function startHost(service: string, index: number): Promise<void> {
    const host = `${service}-${index}`;
    const dataCentre = plan.dataCentres[index % plan.dataCentres.length] as string;
    const daemon = await startProcess(host, daemonProgram, [
      '--settings',
      writeSettings(`${host}-daemon`, {
        host,
        dataCentre,
        address: LOOPBACK,
        callPort: 0,
        peerPort: 0,
        bootstrap: hosts.slice(0, 1).map((known) => known.peer),
        logLevel: plan.logLevel,
        store: { endpoints: [store.endpoint] },
      }),
    ]);
    const { callPort, peerPort } = (daemon.ready as ListeningDaemon).listening;
    const target = await startProcess(`${host}-target`, targetProgram, [
      writeSettings(`${host}-target`, {
        service,
        address: LOOPBACK,
        port: 0,
        daemon: { address: LOOPBACK, port: callPort },
        slots: plan.configuration.services[service]?.slots ?? 1,
        queueing: plan.queueing ?? false,
        calls: targetCalls(plan, service),
        interimAnswers: plan.interimAnswers ?? false,
        ...(plan.logsExecutions ? { executionLog } : {}),
      }),
    ]);
    const peer = { address: LOOPBACK, port: peerPort };
    hosts.push({ host, service, dataCentre, callPort, peer, daemon, target });
  }

  const plannedHosts = Object.keys(plan.configuration.services).flatMap((service) =>
    Array.from({ length: plan.targetsPerService }, (_, index) => ({ service, index })),
  );
  // The other daemons bootstrap from the first one.
  const [first, ...others] = plannedHosts;
  if (first) await startHost(first.service, first.index);
  await Promise.all(others.map(({ service, index }) => startHost(service, index)));
  return {
    store,
    hosts,
    hostsOf: (service) => hosts.filter((host) => host.service === service),
    executions: () => {
      const lines = readFileSync(executionLog, 'utf8').split('\n').filter(Boolean);
      return lines.map((line) => JSON.parse(line) as LoggedExecution);
    },
    stop: async () => {
      await Promise.all(hosts.map((host) => host.daemon.end('SIGTERM')));
      await Promise.all(hosts.map((host) => host.target.end('SIGTERM')));
      await store.process.end('SIGTERM');
      rmSync(folder, { recursive: true, force: true });
    },
  };
}
