import type { Clock } from '../runtime/clock.js';
import type { TargetRun } from './targetRun.js';

/** Time for which a run is remembered, in milliseconds; much longer than a leaving target takes. */
const RETENTION_MS = 600_000;

interface LeavingRun extends TargetRun {
  /** On the monotonic clock, in milliseconds. */
  recordedAt: number;
}

/**
 * Runs of targets that are leaving, by record key. Leaving is final for a run, so that it does not
 * depend on which process reports it: a daemon that has just restarted may not know it.
 */
export class LeavingRuns {
  private readonly runs = new Map<string, LeavingRun>();

  constructor(private readonly clock: Clock) {}

  /** Records that a run is leaving; false if that is known, or if the run cannot be identified. */
  add(key: string, { targetId, startedAt }: TargetRun): boolean {
    const isIdentified = startedAt > 0;
    if (!isIdentified || this.has(key, { targetId, startedAt })) return false;
    const now = this.clock.now();
    this.runs.forEach(({ recordedAt }, other) => {
      if (now - recordedAt > RETENTION_MS) this.runs.delete(other);
    });
    this.runs.set(key, { targetId, startedAt, recordedAt: now });
    return true;
  }

  /** True if the run, or a later one of the same target, is leaving. */
  has(key: string, { targetId, startedAt }: TargetRun): boolean {
    const known = this.runs.get(key);
    return known?.targetId === targetId && startedAt <= known.startedAt;
  }
}
