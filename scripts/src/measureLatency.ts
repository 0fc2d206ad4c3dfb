import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { Agent, request } from 'undici';
import {
  INTERIM_TIMEOUT_MS,
  RpcPeerCaller,
  HttpCallTransport,
  createEmbeddedCaller,
  silentLogger,
  systemClock,
  systemRandom,
} from '@shallotcroft/core';
import type { Configuration, EmbeddedCaller } from '@shallotcroft/core';
import { startDeployment, startPassThrough, waitUntilReady } from '@shallotcroft/playground';
import { numberFlag } from './flags.js';

/**
 * Measures the latency added to direct calls, paired within one run: each round sends one call
 * through each variant, in rotating order, so that noise of the machine affects all alike.
 */

const LOOPBACK = '127.0.0.1';
const MICROSECONDS_PER_MS = 1000;
const BODY = Buffer.from(JSON.stringify({ circle: 'Oatlands', copies: 12 }));
const WARM_UP_ROUNDS = 500;

type Variant = 'direct' | 'passThrough' | 'embedded' | 'twoHops';

const variants: Variant[] = ['direct', 'passThrough', 'embedded', 'twoHops'];

const configuration: Configuration = {
  revision: 1,
  changeId: 'measure-latency',
  objective: 'goodput',
  services: {
    caller: { name: 'caller', slots: 100, connections: 100, limit: 'fixed', shards: 1 },
    catalogue: { name: 'catalogue', slots: 100, connections: 100, limit: 'fixed', shards: 1 },
  },
  calls: {
    'catalogue.search': {
      name: 'catalogue.search',
      service: 'catalogue',
      importance: 'normal',
      execution: 'repeatable',
      deadlineMs: 2000,
      attemptTokens: 1,
      maxAnswerBytes: 100_000,
      maxBodyBytes: 100_000,
      children: [],
    },
  },
};

const rounds = numberFlag('rounds', 4000);
const perSecond = numberFlag('rate', 250);

function createHistogram(): Histogram {
  return build({ numberOfSignificantValueDigits: 3, highestTrackableValue: 60_000_000 });
}

const deployment = await startDeployment({
  configuration,
  dataCentres: ['local'],
  targetsPerService: 1,
  workMs: 0,
  logLevel: 'error',
});
const [entry] = deployment.hostsOf('caller');
const [host] = deployment.hostsOf('catalogue');
if (!entry || !host) throw new Error('the deployment did not start');
const peers = new RpcPeerCaller();
await waitUntilReady(deployment, peers, configuration.revision);
const targetPort = (host.target.ready as { listening: number }).listening;
const passThrough = await startPassThrough({ address: LOOPBACK, port: targetPort });
const passThroughPort = (passThrough.ready as { listening: number }).listening;
const agent = new Agent({ connections: 64, pipelining: 1 });
const caller: EmbeddedCaller = createEmbeddedCaller({
  name: 'measure',
  dataCentre: 'local',
  bootstrap: [entry.peer],
  services: ['catalogue'],
  clock: systemClock,
  random: systemRandom,
  logger: silentLogger,
  transport: new HttpCallTransport({
    clock: systemClock,
    incarnation: 'measure',
    idleTimeoutMs: INTERIM_TIMEOUT_MS,
    requiresEcho: true,
  }),
  peers,
});
await caller.start();

async function post(port: number, path: string): Promise<void> {
  const response = await request(`http://${LOOPBACK}:${port}${path}`, {
    method: 'POST',
    body: BODY,
    dispatcher: agent,
  });
  await response.body.arrayBuffer();
  if (response.statusCode !== 200) throw new Error(`${path} answered ${response.statusCode}`);
}

const calls: Record<Variant, () => Promise<void>> = {
  direct: () => post(targetPort, '/catalogue/search'),
  passThrough: () => post(passThroughPort, '/catalogue/search'),
  embedded: async () => {
    const response = await caller.call('catalogue.search', BODY);
    if (response.status !== 200) throw new Error(`embedded call: ${response.body.toString()}`);
  },
  twoHops: () => post(entry.callPort, '/call/catalogue/search'),
};

const histograms = new Map(variants.map((variant) => [variant, createHistogram()]));
const differences = new Map(variants.map((variant) => [variant, createHistogram()]));

async function measureCall(variant: Variant): Promise<number> {
  const startedAt = performance.now();
  await calls[variant]();
  return (performance.now() - startedAt) * MICROSECONDS_PER_MS;
}

async function runRound(index: number, isRecorded: boolean): Promise<void> {
  const times = new Map<Variant, number>();
  for (let step = 0; step < variants.length; step++) {
    const variant = variants[(index + step) % variants.length] as Variant;
    times.set(variant, await measureCall(variant));
  }
  if (!isRecorded) return;
  const direct = times.get('direct') ?? 0;
  times.forEach((time, variant) => {
    histograms.get(variant)?.recordValue(Math.round(time));
    differences.get(variant)?.recordValue(Math.max(0, Math.round(time - direct)));
  });
}

async function runRounds(count: number, isRecorded: boolean): Promise<void> {
  const startedAt = performance.now();
  const pending = new Set<Promise<void>>();
  for (let index = 0; index < count; index++) {
    const dueAt = startedAt + (index * 1000) / perSecond;
    const waitMs = dueAt - performance.now();
    if (waitMs > 0) await systemClock.sleep(waitMs);
    const round = runRound(index, isRecorded);
    pending.add(round);
    round.finally(() => pending.delete(round)).catch(() => undefined);
  }
  await Promise.all(pending);
}

await runRounds(WARM_UP_ROUNDS, false);
await runRounds(rounds, true);

function milliseconds(microseconds: number): number {
  return Math.round(microseconds) / MICROSECONDS_PER_MS;
}

function percentileOf(variant: Variant, percentile: number): number {
  return milliseconds(histograms.get(variant)?.getValueAtPercentile(percentile) ?? 0);
}

function addedOf(variant: Variant, percentile: number): number {
  return Number(
    (percentileOf(variant, percentile) - percentileOf('direct', percentile)).toFixed(3),
  );
}

function pairedOf(variant: Variant, percentile: number): number {
  return milliseconds(differences.get(variant)?.getValueAtPercentile(percentile) ?? 0);
}

console.log(`${rounds} rounds of ${variants.length} calls at ${perSecond} rounds/s; times in ms`);
console.table(
  Object.fromEntries(
    variants.map((variant) => [
      variant,
      {
        p50: percentileOf(variant, 50),
        p99: percentileOf(variant, 99),
        'added p50': addedOf(variant, 50),
        'added p99': addedOf(variant, 99),
        'paired p50': pairedOf(variant, 50),
        'paired p99': pairedOf(variant, 99),
      },
    ]),
  ),
);
console.log('cost of each hop at p50:');
console.log(`  bare pass-through (polka + undici)     ${addedOf('passThrough', 50)} ms`);
console.log(`  daemon of the target (embedded caller) ${addedOf('embedded', 50)} ms`);
const firstHop = addedOf('twoHops', 50) - addedOf('embedded', 50);
console.log(`  daemon of the caller (two hops)        ${firstHop.toFixed(3)} ms`);
await caller.stop();
await peers.close();
await agent.destroy();
await passThrough.end('SIGTERM');
await deployment.stop();
console.log(
  JSON.stringify({
    embedded: { added_p50_ms: addedOf('embedded', 50), added_p99_ms: addedOf('embedded', 99) },
    two_hops: { added_p50_ms: addedOf('twoHops', 50), added_p99_ms: addedOf('twoHops', 99) },
    passthrough_p50_ms: addedOf('passThrough', 50),
    passthrough_p99_ms: addedOf('passThrough', 99),
    paired: {
      embedded_p99_ms: pairedOf('embedded', 99),
      two_hops_p99_ms: pairedOf('twoHops', 99),
      passthrough_p99_ms: pairedOf('passThrough', 99),
    },
  }),
);
process.exit(0);
