/** Durations of the at-most-once protocol, in milliseconds. */
export interface AtMostOnceTiming {
  /** How long a home lease is valid, counted from its request. */
  homeLeaseMs: number;
  /**
   * Interval between renewals of home leases; the other periodic checks run at the same interval.
   */
  homeLeaseIntervalMs: number;
  /**
   * Added by the deputy to the end of a home lease. Must exceed the drift between two monotonic
   * clocks within `homeLeaseMs`.
   */
  homeLeaseMarginMs: number;
  /** A deputy that has granted no home lease for this long is replaced. */
  deputyTimeoutMs: number;
  /** Largest difference between the calendar clocks of two hosts. */
  maxClockSkewMs: number;
  /** How long a key and its response are kept; older keys are rejected. */
  retentionMs: number;
  /** Interval between reads of all shard records. */
  refreshIntervalMs: number;
  /** Daemons spread these reads over this time when the members of their service change. */
  refreshSpreadMs: number;
  /** How long a call waits at its home while the shard record is being changed. */
  recordChangeWaitMs: number;
  /** How long a handover waits for running calls to finish. */
  drainTimeoutMs: number;
  /** How long a leaving daemon tries to hand its shards over. */
  leaveTimeoutMs: number;
}

/** Default durations, for production. */
export const defaultAtMostOnceTiming: AtMostOnceTiming = {
  homeLeaseMs: 3000,
  homeLeaseIntervalMs: 1000,
  homeLeaseMarginMs: 100,
  deputyTimeoutMs: 2200,
  maxClockSkewMs: 500,
  retentionMs: 600_000,
  refreshIntervalMs: 300_000,
  refreshSpreadMs: 20_000,
  recordChangeWaitMs: 1000,
  drainTimeoutMs: 2000,
  leaveTimeoutMs: 15_000,
};
