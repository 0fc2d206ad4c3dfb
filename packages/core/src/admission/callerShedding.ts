import type { Clock } from '../runtime/clock.js';
import type { RandomSource } from '../runtime/random.js';
import { PRIORITY_COUNT } from './shedLevel.js';

/** Time for which a level applies in full after the response that carried it, in milliseconds. */
const HOLD_MS = 300;
/** Time in which the highest level then decays to 0, in milliseconds. */
const DECAY_MS = 1000;
/** Share of the calls below the level that is sent anyway, to learn the target's present level. */
const PROBE_SHARE = 0.01;

/** Sheds calls at the caller, by the shed levels that its targets reported. */
export interface CallerShedding {
  /** Records the level that a target's response carried. */
  recordLevel(target: string, level: number): void;
  /** Present level of a target; 0 when none was reported or the last one has decayed. */
  levelOf(target: string): number;
  /** Lowest level of the targets, any of which could run the call; 0 when there are none. */
  lowestLevelOf(targets: Iterable<string>): number;
  /** True when a call should not be sent. Occasionally false for a probe. */
  shouldShed(target: string, priority: number): boolean;
  /** Drops the level of a target that no longer exists. */
  forget(target: string): void;
}

/** The last level that a target reported. */
interface ReportedLevel {
  level: number;
  /** When the level was recorded, on the monotonic clock, in milliseconds. */
  recordedAt: number;
}

/** Creates the shedding of a caller. */
export function createCallerShedding(clock: Clock, random: RandomSource): CallerShedding {
  const reported = new Map<string, ReportedLevel>();

  function levelOf(target: string): number {
    const last = reported.get(target);
    if (!last) return 0;
    const decayingMs = Math.max(0, clock.now() - last.recordedAt - HOLD_MS);
    const level = last.level - (PRIORITY_COUNT * decayingMs) / DECAY_MS;
    if (level > 0) return Math.floor(level);
    reported.delete(target);
    return 0;
  }

  function lowestLevelOf(targets: Iterable<string>): number {
    const targetLevels = [...targets].map(levelOf);
    return targetLevels.length === 0 ? 0 : Math.min(...targetLevels);
  }

  return {
    levelOf,
    lowestLevelOf,
    recordLevel: (target, level) => {
      if (level > 0) reported.set(target, { level, recordedAt: clock.now() });
      else reported.delete(target);
    },
    shouldShed: (target, priority) => priority < levelOf(target) && random.next() >= PROBE_SHARE,
    forget: (target) => {
      reported.delete(target);
    },
  };
}
