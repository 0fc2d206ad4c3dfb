import {
  ResultCode,
  isOutcomeUnknown,
  mintKey,
  systemClock,
  systemRandom,
} from '@shallotcroft/core';
import { build as buildHistogram } from 'hdr-histogram-js';
import { numberFlag } from './flags.js';
import { DirectWay, HomesWay, LeaseWay, RecordWay } from './oneShotWays.js';
import type { OneShotWay } from './oneShotWays.js';

/** Compares ways to run calls at most once: every key is tried three times, through an outage too. */

const CALLERS = 8;
const ATTEMPTS = 3;
const MICROSECONDS = 1000;

/** What one way did in one phase. */
class PhaseFigures {
  keys = 0;

  /** Keys of which every attempt was refused. */
  refused = 0;

  /** Attempts that were told that the key may have run. */
  unknown = 0;

  writes = 0;

  readonly latency = buildHistogram();

  constructor(private readonly way: OneShotWay) {
    this.writes = -way.writes();
  }

  async tryKey(key: string): Promise<void> {
    const startedAt = systemClock.now();
    const first = this.way.attempt(key).then((outcome) => {
      this.latency.recordValue(Math.round((systemClock.now() - startedAt) * MICROSECONDS));
      return outcome;
    });
    const others = Array.from({ length: ATTEMPTS - 1 }, () => this.way.attempt(key));
    const outcomes = await Promise.all([first, ...others]);
    const codes = outcomes.map((outcome) => (outcome.isOk() ? 0 : outcome.error.code));
    this.keys += 1;
    if (codes.every((code) => code === ResultCode.notRunHomeUnavailable)) this.refused += 1;
    this.unknown += codes.filter(isOutcomeUnknown).length;
  }

  end(): void {
    this.writes += this.way.writes();
  }
}

async function runPhase(ways: OneShotWay[], seconds: number): Promise<Map<string, PhaseFigures>> {
  const figures = new Map(ways.map((way) => [way.name, new PhaseFigures(way)]));
  const endAt = systemClock.now() + seconds * 1000;
  const caller = async (): Promise<void> => {
    // The ways take turns within each loop, so that noise of the machine meets all of them.
    while (systemClock.now() < endAt) {
      for (const phase of figures.values()) await phase.tryKey(mintKey(systemClock, systemRandom));
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, caller));
  figures.forEach((phase) => phase.end());
  return figures;
}

function setStoreDown(way: OneShotWay, down: boolean): void {
  if (way instanceof HomesWay) way.setStoreDown(down);
  else way.store.setDown(down);
}

function round(value: number): number {
  return Number(value.toFixed(4));
}

const seconds = numberFlag('seconds', 5);
const ways = [new DirectWay(), new HomesWay(), new RecordWay(), new LeaseWay()];
await Promise.all(ways.map((way) => way.start()));
const normal = await runPhase(ways, seconds);
ways.forEach((way) => setStoreDown(way, true));
const outage = await runPhase(ways, seconds);
await Promise.all(ways.map((way) => way.stop()));

const direct = (normal.get('direct') as PhaseFigures).latency;
const rows = ways.map((way) => {
  const calm = normal.get(way.name) as PhaseFigures;
  const down = outage.get(way.name) as PhaseFigures;
  return {
    way: way.name,
    keys: calm.keys + down.keys,
    executions_per_key_max: Math.max(...way.executions.values()),
    refused_in_outage: round(down.refused / down.keys),
    told_unknown: round(calm.unknown / (calm.keys * ATTEMPTS)),
    writes_per_key: round(calm.writes / calm.keys),
    latency_ratio_p50: round(
      calm.latency.getValueAtPercentile(50) / direct.getValueAtPercentile(50),
    ),
    latency_ratio_p99: round(
      calm.latency.getValueAtPercentile(99) / direct.getValueAtPercentile(99),
    ),
  };
});
console.table(rows);
console.log(
  JSON.stringify({ measure: 'one-shot', seconds, callers: CALLERS, attempts: ATTEMPTS, rows }),
);
