import { PRIORITIES_PER_IMPORTANCE } from './shedLevel.js';

/** A call that waits for a slot. */
export interface Waiter {
  priority: number;
  /** When the caller stops waiting, on the monotonic clock, in milliseconds. */
  deadlineAt: number;
}

function rankOf(waiter: Waiter): number {
  return Math.floor(waiter.priority / PRIORITIES_PER_IMPORTANCE);
}

function goesBefore(one: Waiter, other: Waiter): boolean {
  const ranks = rankOf(one) - rankOf(other);
  return ranks > 0 || (ranks === 0 && one.deadlineAt < other.deadlineAt);
}

/** Calls that wait, ordered by importance and then by deadline. */
export class AdmissionQueue<Entry extends Waiter> {
  private readonly entries: Entry[] = [];

  /** Number of calls that wait. */
  get size(): number {
    return this.entries.length;
  }

  /** Adds a call behind those that go before it. */
  add(entry: Entry): void {
    const index = this.entries.findIndex((other) => goesBefore(entry, other));
    this.entries.splice(index < 0 ? this.entries.length : index, 0, entry);
  }

  /** Takes out the call whose turn it is. */
  takeNext(): Entry | undefined {
    return this.entries.shift();
  }

  /** Takes out a call; false when it does not wait. */
  remove(entry: Entry): boolean {
    const index = this.entries.indexOf(entry);
    if (index < 0) return false;
    this.entries.splice(index, 1);
    return true;
  }

  /** Takes out the calls of the lowest places until no more than `capacity` are left. */
  takeOver(capacity: number): Entry[] {
    const taken: Entry[] = [];
    while (this.entries.length > capacity) taken.push(this.takeLowest());
    return taken;
  }

  /** Takes out every call that `matches`. */
  takeWhere(matches: (entry: Entry) => boolean): Entry[] {
    const taken = this.entries.filter(matches);
    taken.forEach((entry) => this.remove(entry));
    return taken;
  }

  /** Of equal places, the one that came last goes. */
  private takeLowest(): Entry {
    const lowest = this.entries.reduce((low, entry) =>
      entry.priority <= low.priority ? entry : low,
    );
    this.remove(lowest);
    return lowest;
  }
}
