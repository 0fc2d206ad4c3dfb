import { Agent } from 'undici';
import {
  RpcPeerCaller,
  generateConfiguration,
  importances,
  parseAnswers,
  systemClock,
  systemRandom,
} from '@shallotcroft/core';
import type { Configuration } from '@shallotcroft/core';
import { readExample, runProgram } from '@shallotcroft/cli';
import type { CommandContext } from '@shallotcroft/cli';
import { makeCall, runLoad } from './demoLoad.js';
import type { DemoCall, DemoResultCounts } from './demoLoad.js';
import { startDeployment } from './deployment.js';
import type { Deployment } from './deployment.js';
import { waitUntilReady } from './readiness.js';

/**
 * Demonstration of the overload control on one machine, with the reading circles example: single
 * calls, a light load, an overload and the reports of the command line.
 */

const EXAMPLE = 'reading-circles';
const TARGETS_PER_SERVICE = 2;
/** The catalogue is the bottleneck; the services that call it mostly wait for it. */
const CATALOGUE_SLOTS = 2;
const SLOTS = 16;
const WORK_MS = 20;
const LIGHT_LOAD_CALLS_PER_SECOND = 40;
const OVERLOAD_CALLS_PER_SECOND = 500;
const LOAD_SECONDS = 4;

const calls: DemoCall[] = [
  { name: 'circles.reserveSet', share: 0.06 },
  { name: 'circles.page', share: 0.14 },
  { name: 'catalogue.search', share: 0.4 },
  { name: 'catalogue.browse', share: 0.4 },
];

function demoConfiguration(): Configuration {
  const answers = parseAnswers({ file: `${EXAMPLE}.yaml`, text: readExample(EXAMPLE) });
  if (answers.isErr()) throw new Error(answers.error.message);
  const configuration = generateConfiguration(answers.value);
  // The slots are few, so that one machine can generate enough load to overload the targets.
  const services = Object.values(configuration.services).map((service) => [
    service.name,
    { ...service, slots: service.name === 'catalogue' ? CATALOGUE_SLOTS : SLOTS },
  ]);
  return {
    ...configuration,
    revision: 1,
    changeId: EXAMPLE,
    services: Object.fromEntries(services) as Configuration['services'],
  };
}

function createContext(peers: RpcPeerCaller): CommandContext {
  return {
    output: { print: console.log, printError: console.error },
    files: { read: () => undefined, write: () => undefined },
    variables: {},
    clock: systemClock,
    random: systemRandom,
    peers,
    ask: () => Promise.resolve(''),
    openStore: () => {
      throw new Error('the demonstration does not open a store');
    },
  };
}

function formatFailures(counts: DemoResultCounts): string {
  return [...counts.failures].map(([result, count]) => `${result} ${count}`).join(', ') || '-';
}

function printResultCounts(title: string, resultCounts: DemoResultCounts[]): void {
  const ordered = [...resultCounts].sort(
    (one, other) => importances.indexOf(one.importance) - importances.indexOf(other.importance),
  );
  console.log(`\n${title}`);
  console.table(
    Object.fromEntries(
      ordered.map((counts) => [
        counts.importance,
        { sent: counts.sent, answered: counts.answered, 'not answered': formatFailures(counts) },
      ]),
    ),
  );
}

async function runDemo(deployment: Deployment, configuration: Configuration): Promise<void> {
  const agent = new Agent({ connections: 512 });
  const callPorts = deployment.hosts.map((host) => host.callPort);
  console.log('\nOne call of each kind, each through a different daemon:');
  for (const [index, { name }] of calls.entries()) {
    const response = await makeCall(callPorts[index] as number, name, agent);
    console.log(`${name}: ${response.status} ${response.result} ${response.body}`);
  }
  const load = { calls, callPorts, seconds: LOAD_SECONDS };
  const lightLoadCounts = await runLoad(
    { ...load, perSecond: LIGHT_LOAD_CALLS_PER_SECOND },
    configuration,
    agent,
  );
  printResultCounts(
    `${LIGHT_LOAD_CALLS_PER_SECOND} calls per second: all are answered`,
    lightLoadCounts,
  );
  const overloadCounts = await runLoad(
    { ...load, perSecond: OVERLOAD_CALLS_PER_SECOND },
    configuration,
    agent,
  );
  printResultCounts(
    `${OVERLOAD_CALLS_PER_SECOND} calls per second: the least important are shed first`,
    overloadCounts,
  );
  await agent.close();
}

async function showCommandLine(deployment: Deployment, peers: RpcPeerCaller): Promise<void> {
  const context = createContext(peers);
  const { peer } = deployment.hosts[0] as Deployment['hosts'][number];
  const daemon = ['--daemon', `${peer.address}:${peer.port}`];
  console.log('\n$ shallotcroft status');
  await runProgram(['status', ...daemon], context);
  console.log('\n$ shallotcroft histograms --measure latency --group importance');
  const filters = ['--measure', 'latency', '--group', 'importance'];
  await runProgram(['histograms', ...daemon, ...filters], context);
}

const configuration = demoConfiguration();
console.log('starting a store, daemons and targets, each in its own process');
const peers = new RpcPeerCaller();
const deployment = await startDeployment({
  configuration,
  dataCentres: ['hobart', 'launceston', 'devonport', 'burnie'],
  targetsPerService: TARGETS_PER_SERVICE,
  workMs: WORK_MS,
  queueing: true,
  logLevel: 'error',
});
await waitUntilReady(deployment, peers, configuration.revision);
await runDemo(deployment, configuration);
await showCommandLine(deployment, peers);
await peers.close();
await deployment.stop();
console.log('\nstopped cleanly');
