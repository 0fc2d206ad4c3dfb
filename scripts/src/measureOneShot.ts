import {
  ResultCode,
  isOutcomeUnknown,
  mintKey,
  systemClock,
  systemRandom,
} from '@shallotcroft/core';
import { build as buildHistogram } from 'hdr-histogram-js';
import { numberFlag } from './flags.js';
import { DirectVariant, HomesVariant, LeaseVariant, RecordVariant } from './oneShotVariants.js';
import type { OneShotVariant } from './oneShotVariants.js';

/**
 * Compares variants of at-most-once execution: three concurrent attempts for each key, with the
 * store available and during an outage of it.
 */

const CALLERS = 8;
const ATTEMPTS_PER_KEY = 3;
const MICROSECONDS_PER_MS = 1000;

/** Counters and latencies of one variant in one phase. */
class PhaseMetrics {
  keys = 0;

  /** Keys whose attempts were all rejected. */
  rejectedKeys = 0;

  /** Attempts whose outcome was reported as unknown. */
  unknownAttempts = 0;

  writes = 0;

  readonly latency = buildHistogram();

  constructor(private readonly variant: OneShotVariant) {
    this.writes = -variant.writes();
  }

  async tryKey(key: string): Promise<void> {
    const startedAt = systemClock.now();
    const first = this.variant.attempt(key).then((outcome) => {
      this.latency.recordValue(Math.round((systemClock.now() - startedAt) * MICROSECONDS_PER_MS));
      return outcome;
    });
    const others = Array.from({ length: ATTEMPTS_PER_KEY - 1 }, () => this.variant.attempt(key));
    const outcomes = await Promise.all([first, ...others]);
    const codes = outcomes.map((outcome) => (outcome.isOk() ? 0 : outcome.error.code));
    this.keys += 1;
    if (codes.every((code) => code === ResultCode.notRunHomeUnavailable)) this.rejectedKeys += 1;
    this.unknownAttempts += codes.filter(isOutcomeUnknown).length;
  }

  finish(): void {
    this.writes += this.variant.writes();
  }
}

async function runPhase(
  variants: OneShotVariant[],
  seconds: number,
): Promise<Map<string, PhaseMetrics>> {
  const metrics = new Map(variants.map((variant) => [variant.name, new PhaseMetrics(variant)]));
  const endAt = systemClock.now() + seconds * 1000;
  const caller = async (): Promise<void> => {
    // Variants alternate within each iteration, so that noise of the machine affects all alike.
    while (systemClock.now() < endAt) {
      for (const phase of metrics.values()) await phase.tryKey(mintKey(systemClock, systemRandom));
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, caller));
  metrics.forEach((phase) => phase.finish());
  return metrics;
}

function setStoreDown(variant: OneShotVariant, down: boolean): void {
  if (variant instanceof HomesVariant) variant.setStoreDown(down);
  else variant.store.setDown(down);
}

function round(value: number): number {
  return Number(value.toFixed(4));
}

const seconds = numberFlag('seconds', 5);
const variants = [new DirectVariant(), new HomesVariant(), new RecordVariant(), new LeaseVariant()];
await Promise.all(variants.map((variant) => variant.start()));
const normal = await runPhase(variants, seconds);
variants.forEach((variant) => setStoreDown(variant, true));
const outage = await runPhase(variants, seconds);
await Promise.all(variants.map((variant) => variant.stop()));

const direct = (normal.get('direct') as PhaseMetrics).latency;
const rows = variants.map((variant) => {
  const normalPhase = normal.get(variant.name) as PhaseMetrics;
  const outagePhase = outage.get(variant.name) as PhaseMetrics;
  return {
    way: variant.name,
    keys: normalPhase.keys + outagePhase.keys,
    executions_per_key_max: Math.max(...variant.executions.values()),
    refused_in_outage: round(outagePhase.rejectedKeys / outagePhase.keys),
    told_unknown: round(normalPhase.unknownAttempts / (normalPhase.keys * ATTEMPTS_PER_KEY)),
    writes_per_key: round(normalPhase.writes / normalPhase.keys),
    latency_ratio_p50: round(
      normalPhase.latency.getValueAtPercentile(50) / direct.getValueAtPercentile(50),
    ),
    latency_ratio_p99: round(
      normalPhase.latency.getValueAtPercentile(99) / direct.getValueAtPercentile(99),
    ),
  };
});
console.table(rows);
console.log(
  JSON.stringify({
    measure: 'one-shot',
    seconds,
    callers: CALLERS,
    attempts: ATTEMPTS_PER_KEY,
    rows,
  }),
);
