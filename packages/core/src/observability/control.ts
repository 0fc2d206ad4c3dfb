import type { AdmissionLoad } from '../admission/admission.js';
import type { Importance } from '../configuration/configuration.js';
import type { Member } from '../membership/member.js';

/** Names of the control methods that operators call at a daemon. */
export const ControlMethod = {
  /** No params; returns a `DaemonStatus`. */
  status: 'control.status',
  /** No params; returns the `Member[]` known to this daemon. */
  members: 'control.members',
  /** No params; returns a `HistogramRow[]`. */
  histograms: 'control.histograms',
  /** No params; starts to drain the target beside the daemon, returns the daemon's `Member`. */
  drain: 'control.drain',
} as const;

/** Status of a daemon, as sent to operators. */
export interface DaemonStatus {
  self: Member;
  /** Revision of the configuration in force at this daemon; 0 when none. */
  revision: number;
  /** Whether the last request to the store succeeded; undefined when this daemon makes none. */
  storeReachable: boolean | undefined;
  load: AdmissionLoad;
  /** Number of members known to this daemon. */
  members: number;
}

/** Quantity that a histogram measures; `latency` and `queueTime` in microseconds. */
export type HistogramMeasure = 'latency' | 'queueTime' | 'attempts' | 'concurrency';

/** Summary of a histogram, as sent to operators. */
export interface HistogramRow {
  measure: HistogramMeasure;
  group: 'importance' | 'caller';
  /** Importance or caller that the row is about. */
  key: Importance | string;
  count: number;
  p50: number;
  p90: number;
  p99: number;
  max: number;
  /** Counts by power of two: bucket 0 has zeros, bucket n values from 2^(n-1) to 2^n - 1. */
  buckets: number[];
}
