import { measureCalls } from './capacityCalls.js';
import type { CallCost } from './capacityCalls.js';
import { DESIGN_UPSTREAMS } from './capacityFleet.js';
import { measureHeal } from './capacityHeal.js';
import { measureRevisionSpread, measureRumourSpread, measureStoreLoad } from './capacitySpread.js';
import { measureSteady } from './capacitySteady.js';
import type { DaemonRate, SteadyCost } from './capacitySteady.js';
import { measureSubsets } from './capacitySubset.js';
import { numberFlag, numbersFlag } from './flags.js';

/**
 * Measures what membership and the configuration in force cost one daemon, and the store, in fleets
 * of several sizes: `--sizes 250,1000,4000,10000 --seconds 60 --outage 3600`.
 */

const SECONDS_PER_DAY = 86_400;

/** Incarnations that end on an ordinary day at the design size: replaced and failed. */
const ENDS_PER_DAY = 820 + 16;

/** Pieces of news that one replaced host makes: draining, gone, starting, serving. */
const NEWS_PER_END = 4;

const REVISIONS_PER_DAY = 7300;
const BUDGET_BYTES = 12 * 1024;
const REVISION_BOUND_MS = 20_000;
const STORE_SIZES = [140, 560];

/** Every daemon runs in this part, each with a table of its own. */
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

/** Each message costs its sender or its receiver half of a call on a new connection. */
function corePercentOf(rate: DaemonRate, calls: CallCost): number {
  const cpuMs = rate.cpuMsPerSecond + (rate.messagesPerSecond * calls.cpuMsOnNewConnection) / 2;
  return cpuMs / 10;
}

function bytesOf(rate: DaemonRate, calls: CallCost): number {
  return rate.jsonBytesPerSecond + rate.messagesPerSecond * overheadOf(calls);
}

/** The ordinary day: at rest, with its news and its revisions. */
function dayRateOf(cost: SteadyCost): DaemonRate {
  const share = cost.size / DESIGN_UPSTREAMS;
  const news = (ENDS_PER_DAY * NEWS_PER_END * share) / SECONDS_PER_DAY;
  const revisions = REVISIONS_PER_DAY / SECONDS_PER_DAY;
  const { idle, perNews, perRevision } = cost;
  return {
    messagesPerSecond:
      idle.messagesPerSecond + news * perNews.messages + revisions * perRevision.messages,
    jsonBytesPerSecond:
      idle.jsonBytesPerSecond + news * perNews.jsonBytes + revisions * perRevision.jsonBytes,
    cpuMsPerSecond: idle.cpuMsPerSecond + news * perNews.cpuMs + revisions * perRevision.cpuMs,
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
  steady.push(await measureSteady(size, seconds, BUDGET_BYTES, overheadOf(calls)));
}
const revisions = [];
for (const size of sizes) revisions.push(await measureRevisionSpread(size, REVISION_BOUND_MS));
const store = [];
for (const size of STORE_SIZES) store.push(await measureStoreLoad(size, outageSeconds));
const heals = [];
for (const size of HEAL_SIZES) heals.push(await measureHeal(size));
const rumours = sizes.map(measureRumourSpread);
const subsets = sizes.map(measureSubsets);
const day = steady.map((cost) => dayCostOf(cost, calls));
const loss = steady.map((cost) => lossRowOf(cost, calls));
const rssMegabytes = process.memoryUsage().rss / 2 ** 20;

const { latencyMs, ...callCost } = calls;
print('A control call between two real ends', [{ ...callCost, ...latencyMs }]);
print(
  'One daemon at rest',
  steady.map(({ size, idle }) => ({ size, ...idle })),
);
print(
  'One piece of news of a member, per daemon',
  steady.map(({ size, perNews }) => ({ size, ...perNews })),
);
print(
  'One revision, per daemon',
  steady.map(({ size, perRevision }) => ({ size, ...perRevision })),
);
print('One daemon on an ordinary day', day);
print('One daemon when a data centre goes', loss);
print('One daemon when a cut between two halves heals', heals);
print('A revision until it is in force everywhere', revisions);
print('News of a member by rumours alone', rumours);
print('The store, at rest, down and on its return', store);
print('Subsets of targets', subsets);
console.log(`this program: ${rssMegabytes.toFixed(0)} MB resident`);
console.log(
  JSON.stringify({
    calls,
    steady,
    day,
    loss,
    heals,
    revisions,
    rumours,
    store,
    subsets,
    rssMegabytes,
  }),
);
