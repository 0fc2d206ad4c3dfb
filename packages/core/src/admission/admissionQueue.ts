/** A call that waits for a slot. */
export interface QueueEntry {
  /** Calls of higher rank are started earlier and shed later. */
  rank: number;
  /** Among calls of one rank, those of higher priority are shed later; see `priorityOf`. */
  priority: number;
  /** Deadline of the call on the monotonic clock, in milliseconds. */
  deadlineAt: number;
}

function precedes(one: QueueEntry, other: QueueEntry): boolean {
  if (one.rank !== other.rank) return one.rank > other.rank;
  return one.deadlineAt < other.deadlineAt;
}

/** True when `other` is shed before `one`. */
export function outranks(one: QueueEntry, other: QueueEntry): boolean {
  if (one.rank !== other.rank) return one.rank > other.rank;
  return one.priority > other.priority;
}

/** Calls waiting for a slot, ordered by rank and then by deadline. */
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

  /** Removes and returns the lowest calls until at most `capacity` remain. */
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

  /** Among equal calls, removes the one that was queued last. */
  private removeLowest(): Entry {
    const lowest = this.entries.reduce((low, entry) => (outranks(entry, low) ? low : entry));
    this.remove(lowest);
    return lowest;
  }
}
