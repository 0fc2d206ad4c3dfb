import type { AdmissionLoad } from '../admission/admission.js';
import type { Importance } from '../configuration/configuration.js';
import type { Member } from '../membership/member.js';

/** Names of the control methods that operators call at a daemon. */
export const ControlMethod = {
  /** No params; answers a `DaemonStatus`. */
  status: 'control.status',
  /** No params; answers the `Member[]` that this daemon knows. */
  members: 'control.members',
  /** No params; answers `HistogramRow[]`. */
  histograms: 'control.histograms',
  /** No params; starts draining the target beside the daemon, answers its `Member`. */
  drain: 'control.drain',
} as const;

/** State of one daemon. */
export interface DaemonStatus {
  self: Member;
  /** Revision of the configuration in force at this daemon; 0 when none. */
  revision: number;
  /** Whether the store answered the last time it was asked; undefined when this daemon does not ask. */
  storeReachable: boolean | undefined;
  load: AdmissionLoad;
  /** Members known to this daemon. */
  members: number;
}

/** What a histogram counts. Latency and queue time are in microseconds. */
export type HistogramMeasure = 'latency' | 'queueTime' | 'attempts' | 'concurrency';

/** Summary of one histogram. */
export interface HistogramRow {
  measure: HistogramMeasure;
  group: 'importance' | 'caller';
  /** The importance or the caller that was measured. */
  key: Importance | string;
  count: number;
  p50: number;
  p90: number;
  p99: number;
  max: number;
  /** Counts for drawing: bucket 0 of zeros, bucket n of the values from 2^(n-1) to 2^n - 1. */
  buckets: number[];
}
