import type { Result } from 'ts-results-es';
import type { Failure } from '../runtime/failure.js';

/** A value in the store. */
export interface StoreEntry {
  key: string;
  value: string;
  /** Store revision of the last change of this key; 0 when the key is absent. */
  modRevision: number;
}

/** Answer of a compare-and-swap. */
export interface SwapOutcome {
  swapped: boolean;
  /** The entry now in the store when not swapped; the new one when swapped. */
  current: StoreEntry | undefined;
}

/** A running watch. */
export interface Watch {
  close(): void;
}

/**
 * The platform's key-value service.
 * Every method may fail with `storeUnavailable` (nothing was done) or
 * `storeOutcomeUnknown` (a write may have taken effect, now or later).
 */
export abstract class Store {
  /** The entry of `key`, or undefined when absent. Linearizable. */
  abstract get(key: string): Promise<Result<StoreEntry | undefined, Failure>>;

  /** All entries whose key starts with `prefix`, ordered by key. */
  abstract list(prefix: string): Promise<Result<StoreEntry[], Failure>>;

  /** Writes `value` if the key's modRevision equals `expected` (0: absent), bound to a lease if given. */
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

  /** Renews a lease; returns the seconds left, 0 when it has lapsed. */
  abstract keepLease(lease: string): Promise<Result<number, Failure>>;

  /**
   * Calls `listener` with each entry of `prefix` that is present, then with each change, until closed;
   * a deleted key is told with modRevision 0. An entry may be told twice. Reconnects by itself.
   */
  abstract watch(prefix: string, listener: (entry: StoreEntry) => void): Watch;

  /** Ends all connections. */
  abstract close(): Promise<void>;
}
