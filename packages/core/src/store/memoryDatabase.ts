import type { Clock, Timer } from '../runtime/clock.js';
import { LeaseNotFoundError } from './leaseNotFoundError.js';
import type { StoreEntry, SwapOutcome } from './store.js';

/** A change of one key; a deleted key has modRevision 0 and an empty value. */
export interface StoreChange {
  /** Revision of the database after the change. */
  revision: number;
  entry: StoreEntry;
}

interface Lease {
  ttlSeconds: number;
  timer: Timer;
}

interface Row {
  entry: StoreEntry;
  lease: string | undefined;
}

/** Number of changes kept for watches that resume. */
const MAX_CHANGES = 10_000;

/** In-process key-value database with one revision counter, leases and a log of changes. */
export class MemoryDatabase {
  private latestRevision = 0;

  private compacted = 0;

  private lastLease = 0;

  private readonly rows = new Map<string, Row>();

  private readonly leases = new Map<string, Lease>();

  private readonly listeners = new Set<() => void>();

  private changes: StoreChange[] = [];

  constructor(private readonly clock: Clock) {}

  /** Revision of the last change. */
  get revision(): number {
    return this.latestRevision;
  }

  /** Changes up to this revision are no longer in the log. */
  get compactedRevision(): number {
    return this.compacted;
  }

  get(key: string): StoreEntry | undefined {
    return this.rows.get(key)?.entry;
  }

  /** Entries whose key starts with `prefix`, ordered by key. */
  list(prefix: string): StoreEntry[] {
    const keys = [...this.rows.keys()].filter((key) => key.startsWith(prefix)).sort();
    return keys.map((key) => (this.rows.get(key) as Row).entry);
  }

  /** Throws `LeaseNotFoundError` if the lease has expired or was never granted. */
  swap(key: string, expected: number, value: string, lease?: string): SwapOutcome {
    if (lease !== undefined && !this.leases.has(lease)) throw new LeaseNotFoundError(lease);
    const current = this.get(key);
    if ((current?.modRevision ?? 0) !== expected) return { swapped: false, current };
    const entry = { key, value, modRevision: this.latestRevision + 1 };
    this.rows.set(key, { entry, lease });
    this.record(entry);
    return { swapped: true, current: entry };
  }

  remove(key: string, expected: number): SwapOutcome {
    const current = this.get(key);
    if ((current?.modRevision ?? 0) !== expected) return { swapped: false, current };
    if (current) this.delete(key);
    return { swapped: true, current: undefined };
  }

  grantLease(ttlSeconds: number): string {
    this.lastLease += 1;
    const lease = String(this.lastLease);
    this.leases.set(lease, { ttlSeconds, timer: this.startLeaseTimer(lease, ttlSeconds) });
    return lease;
  }

  /** Renews a lease; returns the seconds left, 0 if it has expired. */
  renewLease(lease: string): number {
    const found = this.leases.get(lease);
    if (!found) return 0;
    found.timer.cancel();
    found.timer = this.startLeaseTimer(lease, found.ttlSeconds);
    return found.ttlSeconds;
  }

  /** Changes of `prefix` from revision `from` on; undefined if some are no longer in the log. */
  changesSince(prefix: string, from: number): StoreChange[] | undefined {
    if (from <= this.compacted) return undefined;
    return this.changes.filter(
      (change) => change.revision >= from && change.entry.key.startsWith(prefix),
    );
  }

  /** Calls `listener` after each change; returns a function that removes the listener. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Removes all changes from the log. */
  compact(): void {
    this.changes = [];
    this.compacted = this.latestRevision;
  }

  /** Stops the timers of all leases; keys stay. */
  close(): void {
    this.leases.forEach((lease) => lease.timer.cancel());
  }

  private startLeaseTimer(lease: string, ttlSeconds: number): Timer {
    return this.clock.startTimer(ttlSeconds * 1000, () => this.expire(lease));
  }

  private expire(lease: string): void {
    this.leases.delete(lease);
    const bound = [...this.rows].filter(([, row]) => row.lease === lease);
    bound.forEach(([key]) => this.delete(key));
  }

  private delete(key: string): void {
    this.rows.delete(key);
    this.record({ key, value: '', modRevision: 0 });
  }

  private record(entry: StoreEntry): void {
    this.latestRevision += 1;
    this.changes.push({ revision: this.latestRevision, entry });
    if (this.changes.length > MAX_CHANGES) {
      this.compacted = (this.changes.shift() as StoreChange).revision;
    }
    this.listeners.forEach((listener) => listener());
  }
}
