import { PRIORITIES_PER_IMPORTANCE } from './shedLevel.js';

/** A call that waits for a slot. */
export interface QueueEntry {
  /** Calls of higher priority are shed later; see `priorityOf`. */
  priority: number;
  /** Deadline of the call on the monotonic clock, in milliseconds. */
  deadlineAt: number;
}

function importanceRankOf(entry: QueueEntry): number {
  return Math.floor(entry.priority / PRIORITIES_PER_IMPORTANCE);
}

function precedes(one: QueueEntry, other: QueueEntry): boolean {
  const rankDifference = importanceRankOf(one) - importanceRankOf(other);
  return rankDifference > 0 || (rankDifference === 0 && one.deadlineAt < other.deadlineAt);
}

/** Calls waiting for a slot, ordered by importance and then by deadline. */
export class AdmissionQueue<Entry extends QueueEntry> {
  private readonly entries: Entry[] = [];

  /** Number of queued calls. */
  get size(): number {
    return this.entries.length;
  }

  /** Inserts a call behind all that precede it. */
  add(entry: Entry): void {
    const index = this.entries.findIndex((other) => precedes(entry, other));
    this.entries.splice(index < 0 ? this.entries.length : index, 0, entry);
  }

  /** Removes and returns the first call. */
  takeNext(): Entry | undefined {
    return this.entries.shift();
  }

  /** Removes a call; false when it is not queued. */
  remove(entry: Entry): boolean {
    const index = this.entries.indexOf(entry);
    if (index < 0) return false;
    this.entries.splice(index, 1);
    return true;
  }

  /** Removes and returns the calls of the lowest priorities until at most `capacity` remain. */
  trimTo(capacity: number): Entry[] {
    const removed: Entry[] = [];
    while (this.entries.length > capacity) removed.push(this.removeLowest());
    return removed;
  }

  /** Removes and returns every call for which `matches` is true. */
  removeWhere(matches: (entry: Entry) => boolean): Entry[] {
    const removed = this.entries.filter(matches);
    removed.forEach((entry) => this.remove(entry));
    return removed;
  }

  /** Among equal priorities, removes the call that was queued last. */
  private removeLowest(): Entry {
    const lowest = this.entries.reduce((low, entry) =>
      entry.priority <= low.priority ? entry : low,
    );
    this.remove(lowest);
    return lowest;
  }
}
