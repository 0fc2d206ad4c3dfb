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

/** What a lost write does in the store. */
export type LostWriteEffect =
  /** It takes effect at once. */
  | 'early'
  /** It takes effect when `landLateWrites` is called; its compare is made then. */
  | 'late'
  /** It never takes effect. */
  | 'never';

/** How often a store was called. */
export interface StoreCounts {
  reads: number;
  writes: number;
  watches: number;
}

/** How long a caller waits before it gives an answer up, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 2000;

/**
 * One client's session with an in-process store, with the faults of a real one.
 * Sessions that share a database see the same contents; faults belong to one session.
 */
export class MemoryStore extends Store {
  /** Calls of this session. */
  readonly counts: StoreCounts = { reads: 0, writes: 0, watches: 0 };

  private down = false;

  private slowMs = 0;

  private lost: LostWriteEffect[] = [];

  private lateWrites: (() => void)[] = [];

  private readonly pumps = new Set<() => void>();

  constructor(
    private readonly clock: Clock,
    readonly database: MemoryDatabase = new MemoryDatabase(clock),
    private readonly timeoutMs: number = DEFAULT_TIMEOUT_MS,
  ) {
    super();
  }

  /** Another client of the same store, without faults of its own. */
  session(): MemoryStore {
    return new MemoryStore(this.clock, this.database, this.timeoutMs);
  }

  /** While down, every call fails with `storeUnavailable` and watches tell nothing. */
  setDown(down: boolean): void {
    this.down = down;
    this.pumps.forEach((pump) => pump());
  }

  /** Makes every call take `ms` milliseconds, and watches tell as much later. */
  setSlow(ms: number): void {
    this.slowMs = ms;
  }

  /** Loses the answer of the next write: its caller gets `storeOutcomeUnknown`. */
  loseNextAnswer(effect: LostWriteEffect = 'early'): void {
    this.lost.push(effect);
  }

  /** Lets the lost writes that were held back reach the store now. */
  landLateWrites(): void {
    const writes = this.lateWrites;
    this.lateWrites = [];
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

  keepLease(lease: string): Promise<Result<number, Failure>> {
    return this.write(() => this.database.keepLease(lease));
  }

  watch(prefix: string, listener: (entry: StoreEntry) => void): Watch {
    this.counts.watches += 1;
    let nextRevision = 0;
    const known = new Set<string>();
    const tell = (entry: StoreEntry) => {
      if (entry.modRevision === 0) known.delete(entry.key);
      else known.add(entry.key);
      listener(entry);
    };
    const relist = () => {
      const entries = this.database.list(prefix);
      const present = new Set(entries.map((entry) => entry.key));
      const gone = [...known].filter((key) => !present.has(key));
      gone.forEach((key) => tell({ key, value: '', modRevision: 0 }));
      entries.forEach(tell);
    };
    const pump = () => {
      if (this.down || !this.pumps.has(pump)) return;
      const from = nextRevision;
      nextRevision = this.database.revision + 1;
      const changes = from === 0 ? undefined : this.database.changesSince(prefix, from);
      if (changes) changes.forEach((change) => tell(change.entry));
      else relist();
    };
    const schedule = () => {
      if (this.slowMs === 0) queueMicrotask(pump);
      else this.clock.startTimer(this.slowMs, pump);
    };
    this.pumps.add(pump);
    const stop = this.database.onChange(schedule);
    schedule();
    return {
      close: () => {
        stop();
        this.pumps.delete(pump);
      },
    };
  }

  close(): Promise<void> {
    this.pumps.clear();
    return Promise.resolve();
  }

  private async read<T>(action: () => T): Promise<Result<T, Failure>> {
    this.counts.reads += 1;
    if (this.down) return MemoryStore.unavailable();
    if (this.slowMs > this.timeoutMs) {
      await this.clock.sleep(this.timeoutMs);
      return MemoryStore.unavailable();
    }
    if (this.slowMs > 0) await this.clock.sleep(this.slowMs);
    return Ok(action());
  }

  private async write<T>(action: () => T): Promise<Result<T, Failure>> {
    this.counts.writes += 1;
    if (this.down) return MemoryStore.unavailable();
    const effect = this.lost.shift();
    if (effect !== undefined) return this.lose(action, effect);
    if (this.slowMs > this.timeoutMs) {
      this.clock.startTimer(this.slowMs, () => MemoryStore.attempt(action));
      await this.clock.sleep(this.timeoutMs);
      return MemoryStore.unknown();
    }
    if (this.slowMs > 0) await this.clock.sleep(this.slowMs);
    return MemoryStore.attempt(action);
  }

  private async lose<T>(action: () => T, effect: LostWriteEffect): Promise<Result<T, Failure>> {
    if (effect === 'early') MemoryStore.attempt(action);
    if (effect === 'late') this.lateWrites.push(() => MemoryStore.attempt(action));
    if (this.slowMs > 0) await this.clock.sleep(this.slowMs);
    return MemoryStore.unknown();
  }

  private static attempt<T>(action: () => T): Result<T, Failure> {
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
    const message = 'the store does not answer; nothing was done, try again later';
    return Err(createFailure(ResultCode.storeUnavailable, message));
  }

  private static unknown<T>(): Result<T, Failure> {
    const message = 'the store did not answer; the write may have taken effect, now or later';
    return Err(createFailure(ResultCode.storeOutcomeUnknown, message));
  }
}
