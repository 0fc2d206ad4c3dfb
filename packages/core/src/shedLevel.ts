import { importances } from './configuration.js';
import type { Importance } from './configuration.js';

/** Places within one importance; callers are spread over them by hash. */
export const PLACES_PER_IMPORTANCE = 128;

/** Number of places. A level of 0 refuses nobody; the most important calls have the highest places. */
export const PLACE_COUNT = importances.length * PLACES_PER_IMPORTANCE;

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
export function placeOf(importance: Importance, caller: string): number {
  const rank = importances.length - 1 - importances.indexOf(importance);
  return rank * PLACES_PER_IMPORTANCE + (hashOf(caller) % PLACES_PER_IMPORTANCE);
}

/** What was measured at the target since the level was last adjusted. */
export interface Pressure {
  /** Calls waiting as a share of the waiting room. */
  waitingShare: number;
  /** Calls that were refused because too many came. */
  refusals: number;
}

/** How fast the level follows the pressure. */
export interface ShedLevelPace {
  /** Largest number of places by which the level falls in one step. */
  maxFall: number;
  /** Share of the waiting room above which the level rises. */
  highShare: number;
  /** Share of the waiting room below which the level falls. */
  lowShare: number;
}

/** Share of past arrivals that is remembered at each step. */
const MEMORY = 0.7;
/** Share of the arrivals at the level that goes on when the level rises. */
const RISE_KEEPS = 0.92;

/**
 * The level below which callers should not send, found from measured pressure. It rises at once to
 * where the arrivals seen fit, and falls in steps that double while there is room.
 */
export class ShedLevel {
  private level = 0;

  private fall = 1;

  private arrivals = 0;

  private readonly recent = new Float64Array(PLACE_COUNT);

  constructor(private pace: ShedLevelPace) {}

  /** Places below this should not be sent. */
  current(): number {
    return this.level;
  }

  /** Changes how fast the level follows. */
  setPace(pace: ShedLevelPace): void {
    this.pace = pace;
  }

  /** Counts a call that asked to be let in. */
  countArrival(place: number): void {
    this.arrivals += 1;
    this.recent[place] = (this.recent[place] ?? 0) + 1;
  }

  /** Adjusts the level to what was measured since the last step. */
  step(pressure: Pressure): void {
    if (pressure.refusals > 0 || pressure.waitingShare > this.pace.highShare) this.rise(pressure);
    else if (pressure.waitingShare < this.pace.lowShare) this.sink();
    else this.fall = 1;
    this.arrivals = 0;
    this.recent.forEach((count, place) => {
      this.recent[place] = count * MEMORY;
    });
  }

  private rise(pressure: Pressure): void {
    this.fall = 1;
    const fitting = this.arrivals > 0 ? 1 - pressure.refusals / this.arrivals : 1;
    const room = this.arrivalsFrom(this.level) * Math.min(RISE_KEEPS, Math.max(0, fitting));
    let level = this.level + 1;
    let above = this.arrivalsFrom(level);
    while (above > room && level < PLACE_COUNT - 1) {
      above -= this.recent[level] ?? 0;
      level += 1;
    }
    this.level = Math.min(level, PLACE_COUNT - 1);
  }

  private sink(): void {
    this.level = Math.max(0, this.level - this.fall);
    this.fall = Math.min(this.fall * 2, this.pace.maxFall);
  }

  private arrivalsFrom(level: number): number {
    let sum = 0;
    for (let place = level; place < PLACE_COUNT; place++) sum += this.recent[place] ?? 0;
    return sum;
  }
}
