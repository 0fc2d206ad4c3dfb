import type { RequestRecord } from './overloadLoad.js';

/** Figures of one variant under one trigger, written out under these names as JSON. */
export interface OverloadOutcome {
  goodput_ratio: number;
  top_class_success: number;
  wasted_ratio: number;
  attempts_per_root_max: number;
  /** Null when goodput did not recover before the end of the measurement. */
  recovery_s: number | null;
  /** Complete responses in each second of the measurement. */
  curve: number[];
}

/** Time span of the overload trigger, in milliseconds since the start of the load. */
export interface TriggerSpan {
  startMs: number;
  endMs: number;
  /** Requests per second that the chain can complete during the trigger. */
  capacity: number;
}

const BUCKET_MS = 250;
const BUCKETS_PER_SECOND = 1000 / BUCKET_MS;
/** Share of normal goodput from which on it counts as recovered. */
const RECOVERED_SHARE = 0.95;
/** Seconds for which goodput has to stay up to count as recovered. */
const STEADY_SECONDS = 2;

/** Counts the responses in each bucket, without those at `endMs` or later. */
function countResponses(records: RequestRecord[], endMs: number): number[] {
  const buckets = new Array<number>(Math.ceil(endMs / BUCKET_MS)).fill(0);
  records.forEach(({ answeredAt }) => {
    if (answeredAt === undefined || answeredAt >= endMs) return;
    const bucket = Math.floor(answeredAt / BUCKET_MS);
    buckets[bucket] = (buckets[bucket] ?? 0) + 1;
  });
  return buckets;
}

function sumOf(numbers: number[]): number {
  return numbers.reduce((sum, number) => sum + number, 0);
}

function perSecond(buckets: number[], from: number, to: number): number {
  return sumOf(buckets.slice(from, to)) / ((to - from) / BUCKETS_PER_SECOND);
}

function recoverySeconds(buckets: number[], span: TriggerSpan): number | null {
  const startBucket = Math.round(span.startMs / BUCKET_MS);
  const endBucket = Math.round(span.endMs / BUCKET_MS);
  // Leaves out the first second, in which the chain starts cold.
  const normal = perSecond(buckets, BUCKETS_PER_SECOND, startBucket);
  const steady = STEADY_SECONDS * BUCKETS_PER_SECOND;
  for (let bucket = endBucket; bucket + steady <= buckets.length; bucket++) {
    let isRecovered = true;
    for (let second = 0; second < STEADY_SECONDS; second++) {
      const from = bucket + second * BUCKETS_PER_SECOND;
      const goodput = perSecond(buckets, from, from + BUCKETS_PER_SECOND);
      if (goodput < RECOVERED_SHARE * normal) isRecovered = false;
    }
    if (isRecovered) return (bucket - endBucket) / BUCKETS_PER_SECOND;
  }
  return null;
}

function executionsOf(roots: string[], executions: Map<string, number>): number {
  return sumOf(roots.map((root) => executions.get(root) ?? 0));
}

/** Share of executions made for failed roots: all but the last root of an answered request. */
function wastedRatio(records: RequestRecord[], executions: Map<string, number>): number {
  let wasted = 0;
  let all = 0;
  records.forEach(({ roots, answeredAt }) => {
    all += executionsOf(roots, executions);
    const failed = answeredAt === undefined ? roots : roots.slice(0, -1);
    wasted += executionsOf(failed, executions);
  });
  return wasted / Math.max(1, all);
}

function mostAttempts(records: RequestRecord[], executions: Map<string, number>): number {
  return records.reduce((most, { roots }) => Math.max(most, executionsOf(roots, executions)), 0);
}

/** Computes the figures of a measurement that ended after `endMs`. */
export function outcomeOf(
  records: RequestRecord[],
  executions: Map<string, number>,
  span: TriggerSpan,
  endMs: number,
): OverloadOutcome {
  const buckets = countResponses(records, endMs);
  const during = records.filter(
    ({ arrivedAt: cameAt }) => cameAt >= span.startMs && cameAt < span.endMs,
  );
  const topClass = during.filter(({ importance }) => importance === 'critical');
  const answeredTopClass = topClass.filter(({ answeredAt }) => answeredAt !== undefined);
  const from = Math.round(span.startMs / BUCKET_MS);
  const to = Math.round(span.endMs / BUCKET_MS);
  return {
    goodput_ratio: perSecond(buckets, from, to) / span.capacity,
    top_class_success: answeredTopClass.length / Math.max(1, topClass.length),
    wasted_ratio: wastedRatio(during, executions),
    attempts_per_root_max: mostAttempts(records, executions),
    recovery_s: recoverySeconds(buckets, span),
    curve: Array.from({ length: Math.floor(buckets.length / BUCKETS_PER_SECOND) }, (_, second) =>
      sumOf(buckets.slice(second * BUCKETS_PER_SECOND, (second + 1) * BUCKETS_PER_SECOND)),
    ),
  };
}
