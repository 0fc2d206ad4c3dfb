import type { Result } from 'ts-results-es';
import type { Failure } from '../runtime/failure.js';

/** An entry of the store. */
export interface StoreEntry {
  key: string;
  value: string;
  /** Store revision of the last change of this key; 0 if the key is absent. */
  modRevision: number;
}

/** Result of a compare-and-swap. */
export interface SwapOutcome {
  swapped: boolean;
  /** The new entry if swapped, otherwise the entry in the store; undefined if the key is absent. */
  current: StoreEntry | undefined;
}

/** Whether a watch reports a change at once, or some seconds later to save requests. */
export type WatchUrgency = 'prompt' | 'relaxed';

/** A running watch. */
export interface Watch {
  close(): void;
}

/**
 * Client of the platform's key-value store.
 * Every method may fail with `storeUnavailable` (nothing was changed) or
 * `storeOutcomeUnknown` (a write may have taken effect or may still do so).
 */
export abstract class Store {
  /** Reads the entry of `key`, undefined if absent. Linearizable. */
  abstract get(key: string): Promise<Result<StoreEntry | undefined, Failure>>;

  /** Reads all entries whose key starts with `prefix`, ordered by key. */
  abstract list(prefix: string): Promise<Result<StoreEntry[], Failure>>;

  /** Writes `value`, bound to a lease if given, if the key's modRevision is `expected` (0: absent). */
  abstract swap(
    key: string,
    expected: number,
    value: string,
    lease?: string,
  ): Promise<Result<SwapOutcome, Failure>>;

  /** Deletes `key` if its modRevision equals `expected`. */
  abstract remove(key: string, expected: number): Promise<Result<SwapOutcome, Failure>>;

  /** Grants a lease of `ttlSeconds`; returns its id. */
  abstract grantLease(ttlSeconds: number): Promise<Result<string, Failure>>;

  /** Renews a lease; returns the seconds left, 0 if it has expired. */
  abstract renewLease(lease: string): Promise<Result<number, Failure>>;

  /**
   * Calls `listener` with each present entry of `prefix`, then with each change, until closed; a
   * deleted key has modRevision 0. An entry may be delivered twice. Reconnects automatically. A store
   * may report the changes of a `relaxed` watch some seconds later, and only the last of several.
   */
  abstract watch(
    prefix: string,
    listener: (entry: StoreEntry) => void,
    urgency?: WatchUrgency,
  ): Watch;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
