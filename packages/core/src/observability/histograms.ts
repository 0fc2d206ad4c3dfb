import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { HistogramMeasure, HistogramRow } from './control.js';
import type { Importance } from '../configuration/configuration.js';

/** Number of callers with histograms of their own. */
const MAX_CALLERS = 64;
const OTHER_CALLERS = 'other';
/** Largest recorded value: 120 s in microseconds. */
const MAX_VALUE = 120_000_000;
const SIGNIFICANT_DIGITS = 2;
const MICROSECONDS_PER_MS = 1000;
const UINT32_BITS = 32;

const measures: HistogramMeasure[] = ['latency', 'queueTime', 'attempts', 'concurrency'];

/** Histogram with additional counts by power of two, for display. */
interface Distribution {
  histogram: Histogram;
  buckets: number[];
}

type MeasureSet = Record<HistogramMeasure, Distribution>;

/** Measurements of one call. */
export interface CallRecord {
  importance: Importance;
  caller: string;
  /** Time from the arrival of the call to its response, on the caller's side. */
  latencyMs?: number;
  /** Number of attempts, on the caller's side. */
  attempts?: number;
  /** Wait for a slot, on the target's side. */
  queueTimeMs?: number;
  /** Calls in flight at the target, including this one. */
  concurrency?: number;
}

/** Histograms by importance and by caller. */
export interface Histograms {
  /** Records the measurements of a call. */
  record(call: CallRecord): void;
  /** Returns a row for each histogram that has values. */
  rows(): HistogramRow[];
}

function createDistribution(): Distribution {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_VALUE,
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
  const whole = Math.min(MAX_VALUE, Math.max(0, Math.round(value)));
  const bucket = UINT32_BITS - Math.clz32(whole);
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

/** Creates empty histograms; callers beyond the first `MAX_CALLERS` share the key `other`. */
export function createHistograms(): Histograms {
  // Each call is recorded once, by caller and importance; rows are sums over one of the two.
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
