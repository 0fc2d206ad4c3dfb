import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Clock } from '../runtime/clock.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { LeaseNotFoundError } from './leaseNotFoundError.js';
import { MemoryDatabase } from './memoryDatabase.js';
import { ResultCode } from '../runtime/resultCode.js';
import { Store } from './store.js';
import type { StoreEntry, SwapOutcome, Watch } from './store.js';

/** Effect of a write whose response is lost. */
export type LostWriteEffect =
  /** It takes effect at once. */
  | 'early'
  /** It is compared and takes effect when `applyDelayedWrites` is called. */
  | 'late'
  /** It never takes effect. */
  | 'never';

/** Number of calls by kind. */
export interface StoreCounts {
  reads: number;
  writes: number;
  watches: number;
}

/** Timeout of a call, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 2000;

/**
 * Session of one client with an in-process store that can simulate the faults of a real one.
 * Sessions that share a database see the same entries; each session has its own faults.
 */
export class MemoryStore extends Store {
  /** Calls of this session. */
  readonly counts: StoreCounts = { reads: 0, writes: 0, watches: 0 };

  private isDown = false;

  private latencyMs = 0;

  private lostWriteEffects: LostWriteEffect[] = [];

  private delayedWrites: (() => void)[] = [];

  private readonly deliveries = new Set<() => void>();

  constructor(
    private readonly clock: Clock,
    readonly database: MemoryDatabase = new MemoryDatabase(clock),
    private readonly timeoutMs: number = DEFAULT_TIMEOUT_MS,
  ) {
    super();
  }

  /** Creates a session of another client with the same database and without faults. */
  session(): MemoryStore {
    return new MemoryStore(this.clock, this.database, this.timeoutMs);
  }

  /** While down, every call fails with `storeUnavailable` and watches deliver nothing. */
  setDown(down: boolean): void {
    this.isDown = down;
    this.deliveries.forEach((deliver) => deliver());
  }

  /** Delays every call and every delivery of a watch by `ms` milliseconds. */
  setSlow(ms: number): void {
    this.latencyMs = ms;
  }

  /** Loses the response to the next write, which fails with `storeOutcomeUnknown`. */
  loseNextResponse(effect: LostWriteEffect = 'early'): void {
    this.lostWriteEffects.push(effect);
  }

  /** Executes the writes that were lost with the effect `late`. */
  applyDelayedWrites(): void {
    const writes = this.delayedWrites;
    this.delayedWrites = [];
    writes.forEach((write) => write());
  }

  get(key: string): Promise<Result<StoreEntry | undefined, Failure>> {
    return this.read(() => this.database.get(key));
  }

  list(prefix: string): Promise<Result<StoreEntry[], Failure>> {
    return this.read(() => this.database.list(prefix));
  }

  swap(
    key: string,
    expected: number,
    value: string,
    lease?: string,
  ): Promise<Result<SwapOutcome, Failure>> {
    return this.write(() => this.database.swap(key, expected, value, lease));
  }

  remove(key: string, expected: number): Promise<Result<SwapOutcome, Failure>> {
    return this.write(() => this.database.remove(key, expected));
  }

  grantLease(ttlSeconds: number): Promise<Result<string, Failure>> {
    return this.write(() => this.database.grantLease(ttlSeconds));
  }

  renewLease(lease: string): Promise<Result<number, Failure>> {
    return this.write(() => this.database.renewLease(lease));
  }

  watch(prefix: string, listener: (entry: StoreEntry) => void): Watch {
    this.counts.watches += 1;
    let nextRevision = 0;
    const presentKeys = new Set<string>();
    const notify = (entry: StoreEntry) => {
      if (entry.modRevision === 0) presentKeys.delete(entry.key);
      else presentKeys.add(entry.key);
      listener(entry);
    };
    const relist = () => {
      const entries = this.database.list(prefix);
      const present = new Set(entries.map((entry) => entry.key));
      const deletedKeys = [...presentKeys].filter((key) => !present.has(key));
      deletedKeys.forEach((key) => notify({ key, value: '', modRevision: 0 }));
      entries.forEach(notify);
    };
    const deliver = () => {
      if (this.isDown || !this.deliveries.has(deliver)) return;
      const from = nextRevision;
      nextRevision = this.database.revision + 1;
      const changes = from === 0 ? undefined : this.database.changesSince(prefix, from);
      if (changes) changes.forEach((change) => notify(change.entry));
      else relist();
    };
    const schedule = () => {
      if (this.latencyMs === 0) queueMicrotask(deliver);
      else this.clock.startTimer(this.latencyMs, deliver);
    };
    this.deliveries.add(deliver);
    const stop = this.database.onChange(schedule);
    schedule();
    return {
      close: () => {
        stop();
        this.deliveries.delete(deliver);
      },
    };
  }

  close(): Promise<void> {
    this.deliveries.clear();
    return Promise.resolve();
  }

  private async read<T>(action: () => T): Promise<Result<T, Failure>> {
    this.counts.reads += 1;
    if (this.isDown) return MemoryStore.unavailable();
    if (this.latencyMs > this.timeoutMs) {
      await this.clock.sleep(this.timeoutMs);
      return MemoryStore.unavailable();
    }
    if (this.latencyMs > 0) await this.clock.sleep(this.latencyMs);
    return Ok(action());
  }

  private async write<T>(action: () => T): Promise<Result<T, Failure>> {
    this.counts.writes += 1;
    if (this.isDown) return MemoryStore.unavailable();
    const effect = this.lostWriteEffects.shift();
    if (effect !== undefined) return this.executeWithoutResponse(action, effect);
    if (this.latencyMs > this.timeoutMs) {
      this.clock.startTimer(this.latencyMs, () => MemoryStore.execute(action));
      await this.clock.sleep(this.timeoutMs);
      return MemoryStore.outcomeUnknown();
    }
    if (this.latencyMs > 0) await this.clock.sleep(this.latencyMs);
    return MemoryStore.execute(action);
  }

  private async executeWithoutResponse<T>(
    action: () => T,
    effect: LostWriteEffect,
  ): Promise<Result<T, Failure>> {
    if (effect === 'early') MemoryStore.execute(action);
    if (effect === 'late') this.delayedWrites.push(() => MemoryStore.execute(action));
    if (this.latencyMs > 0) await this.clock.sleep(this.latencyMs);
    return MemoryStore.outcomeUnknown();
  }

  private static execute<T>(action: () => T): Result<T, Failure> {
    try {
      return Ok(action());
    } catch (error) {
      if (!(error instanceof LeaseNotFoundError)) throw error;
      return Err(
        createFailure(ResultCode.storeUnavailable, `nothing was written: ${error.message}`),
      );
    }
  }

  private static unavailable<T>(): Result<T, Failure> {
    const message = 'the store does not respond; nothing was changed, try again later';
    return Err(createFailure(ResultCode.storeUnavailable, message));
  }

  private static outcomeUnknown<T>(): Result<T, Failure> {
    const message = 'the store did not respond; the write may have taken effect or may still do so';
    return Err(createFailure(ResultCode.storeOutcomeUnknown, message));
  }
}
