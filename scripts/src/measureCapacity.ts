import { measureCalls } from './capacityCalls.js';
import type { CallCost } from './capacityCalls.js';
import { DESIGN_UPSTREAMS } from './capacityFleet.js';
import { measureHeal } from './capacityHeal.js';
import { measureRevisionSpread, measureGossipSpread, measureStoreLoad } from './capacitySpread.js';
import { measureSteady } from './capacitySteady.js';
import type { DaemonRate, SteadyCost } from './capacitySteady.js';
import { measureSubsets } from './capacitySubset.js';
import { numberFlag, numbersFlag } from './flags.js';

/**
 * Measures the cost of membership and of the accepted configuration for one daemon and for the
 * store, in fleets of several sizes: `--sizes 250,1000,4000,10000 --seconds 60 --outage 3600`.
 */

const SECONDS_PER_DAY = 86_400;

/** Incarnations that end on a normal day at the design size: replaced and failed. */
const ENDS_PER_DAY = 820 + 16;

/** Member updates for one replaced host: draining, gone, starting, serving. */
const UPDATES_PER_END = 4;

const REVISIONS_PER_DAY = 7300;
const BUDGET_BYTES_PER_SECOND = 12 * 1024;
const MAX_REVISION_MS = 20_000;
/** Fleet sizes for the load of the store, in which every daemon runs. */
const STORE_SIZES = [140, 560];

/** Fleet sizes for the partition, in which every daemon runs with a member table of its own. */
const HEAL_SIZES = [56, 112, 224];

const sizes = numbersFlag('sizes', [250, 1000, 4000, DESIGN_UPSTREAMS]);
const seconds = numberFlag('seconds', 60);
const outageSeconds = numberFlag('outage', 3600);

interface DayCost {
  size: number;
  messagesPerSecond: number;
  bytesPerSecond: number;
  corePercent: number;
  heapMegabytes: number;
  startBytes: number;
}

function overheadOf(calls: CallCost): number {
  return calls.httpBytes + calls.segmentBytesPerCall + calls.segmentBytesPerConnection;
}

/** Adds to each message, for sender and receiver alike, half the cost of a call on a new connection. */
function corePercentOf(rate: DaemonRate, calls: CallCost): number {
  const cpuMs = rate.cpuMsPerSecond + (rate.messagesPerSecond * calls.cpuMsOnNewConnection) / 2;
  return cpuMs / 10;
}

function bytesOf(rate: DaemonRate, calls: CallCost): number {
  return rate.jsonBytesPerSecond + rate.messagesPerSecond * overheadOf(calls);
}

/** Returns the mean rate of a normal day: idle load, member updates and revisions. */
function dayRateOf(cost: SteadyCost): DaemonRate {
  const share = cost.size / DESIGN_UPSTREAMS;
  const updatesPerSecond = (ENDS_PER_DAY * UPDATES_PER_END * share) / SECONDS_PER_DAY;
  const revisionsPerSecond = REVISIONS_PER_DAY / SECONDS_PER_DAY;
  const { idle, perNews, perRevision } = cost;
  return {
    messagesPerSecond:
      idle.messagesPerSecond +
      updatesPerSecond * perNews.messages +
      revisionsPerSecond * perRevision.messages,
    jsonBytesPerSecond:
      idle.jsonBytesPerSecond +
      updatesPerSecond * perNews.jsonBytes +
      revisionsPerSecond * perRevision.jsonBytes,
    cpuMsPerSecond:
      idle.cpuMsPerSecond +
      updatesPerSecond * perNews.cpuMs +
      revisionsPerSecond * perRevision.cpuMs,
  };
}

function dayCostOf(cost: SteadyCost, calls: CallCost): DayCost {
  const rate = dayRateOf(cost);
  return {
    size: cost.size,
    messagesPerSecond: rate.messagesPerSecond,
    bytesPerSecond: bytesOf(rate, calls),
    corePercent: corePercentOf(rate, calls),
    heapMegabytes: cost.heapMegabytesPerDaemon,
    startBytes: cost.tableBytes + cost.configurationBytes,
  };
}

function lossRowOf({ size, loss }: SteadyCost, calls: CallCost): Record<string, unknown> {
  return {
    size,
    lostMembers: loss.lostMembers,
    secondsToAgree: loss.secondsToAgree,
    peakBytesPerSecond: bytesOf(loss.peak, calls),
    peakCorePercent: corePercentOf(loss.peak, calls),
    secondsOverBudget: loss.secondsOverBudget,
  };
}

function rounded(row: object): Record<string, unknown> {
  const entries = Object.entries(row).map(([name, value]): [string, unknown] => [
    name,
    typeof value === 'number' ? Number(value.toPrecision(3)) : value,
  ]);
  return Object.fromEntries(entries);
}

function print(title: string, rows: object[]): void {
  console.log(title);
  console.table(rows.map(rounded));
}

const calls = await measureCalls();
const steady: SteadyCost[] = [];
for (const size of sizes) {
  steady.push(await measureSteady(size, seconds, BUDGET_BYTES_PER_SECOND, overheadOf(calls)));
}
const revisions = [];
for (const size of sizes) revisions.push(await measureRevisionSpread(size, MAX_REVISION_MS));
const store = [];
for (const size of STORE_SIZES) store.push(await measureStoreLoad(size, outageSeconds));
const heals = [];
for (const size of HEAL_SIZES) heals.push(await measureHeal(size));
const gossip = sizes.map(measureGossipSpread);
const subsets = sizes.map(measureSubsets);
const day = steady.map((cost) => dayCostOf(cost, calls));
const loss = steady.map((cost) => lossRowOf(cost, calls));
const rssMegabytes = process.memoryUsage().rss / 2 ** 20;

const { latencyMs, ...callCost } = calls;
print('A control call between a caller and a server', [{ ...callCost, ...latencyMs }]);
print(
  'One idle daemon',
  steady.map(({ size, idle }) => ({ size, ...idle })),
);
print(
  'One member update, per daemon',
  steady.map(({ size, perNews }) => ({ size, ...perNews })),
);
print(
  'One revision, per daemon',
  steady.map(({ size, perRevision }) => ({ size, ...perRevision })),
);
print('One daemon on a normal day', day);
print('One daemon when a data centre is lost', loss);
print('One daemon after a network partition into two halves ends', heals);
print('Time until a revision is in force everywhere', revisions);
print('Spread of a member update by gossip alone', gossip);
print('Load of the store: idle, during an outage and after it', store);
print('Target subsets', subsets);
console.log(`this program: ${rssMegabytes.toFixed(0)} MB resident`);
console.log(
  JSON.stringify({
    calls,
    steady,
    day,
    loss,
    heals,
    revisions,
    rumours: gossip,
    store,
    subsets,
    rssMegabytes,
  }),
);
