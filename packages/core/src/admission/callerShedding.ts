import type { Clock } from '../runtime/clock.js';
import type { RandomSource } from '../runtime/random.js';
import { PRIORITY_COUNT } from './shedLevel.js';

/** How long a level counts in full after the answer that brought it. */
const FRESH_MS = 300;
/** How long it takes to forget the highest level after that. */
const FORGET_MS = 1000;
/** Share of the refused calls that is sent all the same, to hear of a new level. */
const PROBE_SHARE = 0.01;

/** The caller's memory of the shedding levels of the targets it calls. */
export interface CallerShedding {
  /** Remembers the level that came back with an answer of a target. */
  learn(target: string, level: number): void;
  /** Level of a target as far as is known; 0 when nothing is known or it is long ago. */
  levelOf(target: string): number;
  /** Least level among targets that could take the same call; 0 when there are none. */
  leastLevelOf(targets: Iterable<string>): number;
  /** True when a call should not be sent. Now and then false for a probe. */
  shouldShed(target: string, priority: number): boolean;
  /** Drops what is known of a target that has gone. */
  forget(target: string): void;
}

interface RememberedLevel {
  level: number;
  learntAt: number;
}

/** Makes the caller's side of shedding. */
export function createCallerShedding(clock: Clock, random: RandomSource): CallerShedding {
  const remembered = new Map<string, RememberedLevel>();

  function levelOf(target: string): number {
    const known = remembered.get(target);
    if (!known) return 0;
    const staleMs = Math.max(0, clock.now() - known.learntAt - FRESH_MS);
    const level = known.level - (PRIORITY_COUNT * staleMs) / FORGET_MS;
    if (level > 0) return Math.floor(level);
    remembered.delete(target);
    return 0;
  }

  function leastLevelOf(targets: Iterable<string>): number {
    const levels = [...targets].map(levelOf);
    return levels.length === 0 ? 0 : Math.min(...levels);
  }

  return {
    levelOf,
    leastLevelOf,
    learn: (target, level) => {
      if (level > 0) remembered.set(target, { level, learntAt: clock.now() });
      else remembered.delete(target);
    },
    shouldShed: (target, priority) => priority < levelOf(target) && random.next() >= PROBE_SHARE,
    forget: (target) => {
      remembered.delete(target);
    },
  };
}
