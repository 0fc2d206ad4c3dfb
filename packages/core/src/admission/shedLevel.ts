import { importances } from '../configuration/configuration.js';
import type { Importance } from '../configuration/configuration.js';

/** Places within one importance; callers are spread over them by hash. */
export const PRIORITIES_PER_IMPORTANCE = 128;

/** Number of places. A level of 0 refuses nobody; the most important calls have the highest places. */
export const PRIORITY_COUNT = importances.length * PRIORITIES_PER_IMPORTANCE;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** FNV-1a with a final mix, so that names that differ in their last letter lie apart. */
function hashOf(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  return (hash ^ (hash >>> 13)) >>> 0;
}

/** Place of a call: its importance, and within it the hash of the root caller. Same at every hop. */
export function priorityOf(importance: Importance, caller: string): number {
  const rank = importances.length - 1 - importances.indexOf(importance);
  return rank * PRIORITIES_PER_IMPORTANCE + (hashOf(caller) % PRIORITIES_PER_IMPORTANCE);
}

/** What was measured at the target since the level was last adjusted. */
export interface Pressure {
  /** Calls that wait now. */
  waiting: number;
  /** Size of the waiting room. */
  room: number;
  /** Calls that reached the target. */
  admitted: number;
  /** Calls that were refused because too many came. */
  refused: number;
  /** Share of the limit that is in use. */
  used: number;
}

/** How the level follows the pressure. */
export interface ShedLevelPace {
  /** Places by which the level falls at first; doubles with each step. */
  firstFall: number;
  /** Largest number of places by which the level falls in one step. */
  maxFall: number;
  /** Places by which the level may fall where half as many calls again fit; more than in proportion. */
  fallPerRoom: number;
  /** Share of the waiting room above which the level rises. */
  highShare: number;
  /** Share of the waiting room below which the level falls. */
  lowShare: number;
}

/** Share of past arrivals that is remembered at each step. */
const MEMORY = 0.7;
/** Steps in which a queue that is too long or too short is to be put right. */
const CORRECTION_STEPS = 3;
/** Least share of the arrivals that is kept in one step. */
const MIN_KEPT = 0.15;

/**
 * The level below which callers should not send, found from measured pressure. It rises to where
 * the arrivals that were seen fit what the target takes, and falls in steps that double while
 * there is room.
 */
export class ShedLevel {
  private level = 0;

  private fall: number;

  /** Arrivals since the last step that the level was for. */
  private arriving = 0;

  private readonly remembered = new Float64Array(PRIORITY_COUNT);

  constructor(private pace: ShedLevelPace) {
    this.fall = pace.firstFall;
  }

  /** Places below this should not be sent. */
  current(): number {
    return this.level;
  }

  /** Changes how the level follows. */
  setPace(pace: ShedLevelPace): void {
    this.pace = pace;
  }

  /** Arrivals since the last step, but for those that were sent before the level was known. */
  arrivals(): number {
    return this.arriving;
  }

  /** Counts a call that asked to be let in. */
  countArrival(priority: number): void {
    this.remembered[priority] = (this.remembered[priority] ?? 0) + 1;
    if (priority >= this.level) this.arriving += 1;
  }

  /** Adjusts the level to what was measured since the last step. */
  step(pressure: Pressure): void {
    const share = pressure.waiting / pressure.room;
    if (pressure.refused > 0 || share > this.pace.highShare) this.rise(pressure);
    else if (share < this.pace.lowShare && pressure.used < 1) this.sink(pressure);
    else this.fall = this.pace.firstFall;
    this.arriving = 0;
    this.remembered.forEach((count, priority) => {
      this.remembered[priority] = count * MEMORY;
    });
  }

  /** Share of the arrivals that would bring the queue to the middle of its band. */
  private wantedShare(pressure: Pressure): number {
    if (this.arriving === 0) return Infinity;
    const middle = ((this.pace.highShare + this.pace.lowShare) / 2) * pressure.room;
    const correction = (middle - pressure.waiting) / CORRECTION_STEPS;
    return (pressure.admitted + correction) / this.arriving;
  }

  private rise(pressure: Pressure): void {
    this.fall = this.pace.firstFall;
    let above = this.rememberedFrom(this.level);
    const wanted = above * Math.max(MIN_KEPT, this.wantedShare(pressure));
    while (above > wanted && this.level < PRIORITY_COUNT - 1) {
      above -= this.remembered[this.level] ?? 0;
      this.level += 1;
    }
  }

  private sink(pressure: Pressure): void {
    const room = Math.max(this.wantedShare(pressure), 1 / pressure.used) - 1;
    if (room <= 0) {
      this.fall = this.pace.firstFall;
      return;
    }
    const places = Math.min(
      this.fall,
      Math.max(1, Math.floor(room * (1 + room) * this.pace.fallPerRoom)),
    );
    this.level = Math.max(0, this.level - places);
    this.fall = Math.min(this.fall * 2, this.pace.maxFall);
  }

  private rememberedFrom(level: number): number {
    let sum = 0;
    for (let index = level; index < PRIORITY_COUNT; index++) sum += this.remembered[index] ?? 0;
    return sum;
  }
}
