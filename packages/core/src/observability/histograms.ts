import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { HistogramMeasure, HistogramRow } from './control.js';
import type { Importance } from '../configuration/configuration.js';

const MAX_CALLERS = 64;
const OTHER_CALLERS = 'other';
const HIGHEST_VALUE = 120_000_000;
const SIGNIFICANT_DIGITS = 2;
const MICROSECONDS_PER_MS = 1000;
const INTEGER_BITS = 32;

const measures: HistogramMeasure[] = ['latency', 'queueTime', 'attempts', 'concurrency'];

/** A histogram with counts in steps that double, for drawing. */
interface Distribution {
  histogram: Histogram;
  buckets: number[];
}

type MeasureSet = Record<HistogramMeasure, Distribution>;

/** What is recorded of one call. */
export interface CallRecord {
  importance: Importance;
  caller: string;
  /** From the call's arrival to its answer, at the caller's side. */
  latencyMs?: number;
  /** Attempts made at the caller's side. */
  attempts?: number;
  /** Wait for a slot, at the target's side. */
  queueTimeMs?: number;
  /** Calls at the target, this one included. */
  concurrency?: number;
}

/** Histograms for each importance and each caller. */
export interface Histograms {
  record(call: CallRecord): void;
  rows(): HistogramRow[];
}

function createDistribution(): Distribution {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_VALUE,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 32,
    autoResize: true,
    useWebAssembly: false,
  });
  return { histogram, buckets: [] };
}

function createMeasureSet(): MeasureSet {
  return {
    latency: createDistribution(),
    queueTime: createDistribution(),
    attempts: createDistribution(),
    concurrency: createDistribution(),
  };
}

/** Bucket 0 counts zeros, bucket n the values from 2^(n-1) to 2^n - 1. */
function recordValue(distribution: Distribution, value: number): void {
  const whole = Math.min(HIGHEST_VALUE, Math.max(0, Math.round(value)));
  const bucket = INTEGER_BITS - Math.clz32(whole);
  const { buckets } = distribution;
  while (buckets.length <= bucket) buckets.push(0);
  buckets[bucket] = (buckets[bucket] ?? 0) + 1;
  distribution.histogram.recordValue(whole);
}

function recordInto(set: MeasureSet, call: CallRecord): void {
  if (call.latencyMs !== undefined) {
    recordValue(set.latency, call.latencyMs * MICROSECONDS_PER_MS);
  }
  if (call.queueTimeMs !== undefined) {
    recordValue(set.queueTime, call.queueTimeMs * MICROSECONDS_PER_MS);
  }
  if (call.attempts !== undefined) recordValue(set.attempts, call.attempts);
  if (call.concurrency !== undefined) recordValue(set.concurrency, call.concurrency);
}

function sumOf(sets: MeasureSet[]): MeasureSet {
  const sum = createMeasureSet();
  sets.forEach((set) => {
    measures.forEach((measure) => {
      const { histogram, buckets } = set[measure];
      const total = sum[measure];
      total.histogram.add(histogram);
      buckets.forEach((count, bucket) => {
        total.buckets[bucket] = (total.buckets[bucket] ?? 0) + count;
      });
    });
  });
  return sum;
}

function rowOf(
  group: HistogramRow['group'],
  key: string,
  measure: HistogramMeasure,
  { histogram, buckets }: Distribution,
): HistogramRow {
  return {
    measure,
    group,
    key,
    count: histogram.totalCount,
    p50: histogram.getValueAtPercentile(50),
    p90: histogram.getValueAtPercentile(90),
    p99: histogram.getValueAtPercentile(99),
    max: histogram.maxValue,
    buckets: [...buckets],
  };
}

/** Makes empty histograms; callers past the first ones share a histogram named `other`. */
export function createHistograms(): Histograms {
  // Each call is recorded once, by caller and importance; rows add up what they have in common.
  const byCaller = new Map<string, Map<Importance, MeasureSet>>();

  function callerKey(caller: string): string {
    return byCaller.has(caller) || byCaller.size < MAX_CALLERS ? caller : OTHER_CALLERS;
  }

  function setOf(caller: string, importance: Importance): MeasureSet {
    const key = callerKey(caller);
    let sets = byCaller.get(key);
    if (!sets) {
      sets = new Map();
      byCaller.set(key, sets);
    }
    let set = sets.get(importance);
    if (!set) {
      set = createMeasureSet();
      sets.set(importance, set);
    }
    return set;
  }

  function sumsByCaller(): Map<string, MeasureSet> {
    return new Map([...byCaller].map(([caller, sets]) => [caller, sumOf([...sets.values()])]));
  }

  function sumsByImportance(): Map<string, MeasureSet> {
    const groups = new Map<Importance, MeasureSet[]>();
    byCaller.forEach((sets) => {
      sets.forEach((set, importance) => {
        groups.set(importance, [...(groups.get(importance) ?? []), set]);
      });
    });
    return new Map([...groups].map(([importance, sets]) => [importance, sumOf(sets)]));
  }

  function rowsOf(group: HistogramRow['group'], sets: Map<string, MeasureSet>): HistogramRow[] {
    return [...sets].flatMap(([key, set]) =>
      measures
        .filter((measure) => set[measure].histogram.totalCount > 0)
        .map((measure) => rowOf(group, key, measure, set[measure])),
    );
  }

  return {
    record: (call) => {
      recordInto(setOf(call.caller, call.importance), call);
    },
    rows: () => [...rowsOf('importance', sumsByImportance()), ...rowsOf('caller', sumsByCaller())],
  };
}
