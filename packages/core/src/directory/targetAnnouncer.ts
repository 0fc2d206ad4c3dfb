import type { Clock } from '../runtime/clock.js';
import type { Failure } from '../runtime/failure.js';
import type { Logger } from '../observability/logger.js';
import type { Store } from '../store/store.js';
import type { StorePacing } from '../store/storePacing.js';
import type { TargetRecord } from './targetRecord.js';

/**
 * Time after which the record of a daemon that has stopped expires, in seconds. Daemons notice much
 * earlier that a host does not respond; the lease only removes what nobody else does.
 */
const LEASE_TTL_S = 10;

/** Interval of lease renewals, in milliseconds; tolerates two lost renewals. */
const RENEW_INTERVAL_MS = 3000;

/** Options of `TargetAnnouncer`. */
export interface TargetAnnouncerOptions {
  /** Store key of the record. */
  key: string;
  store: Store;
  clock: Clock;
  logger: Logger;
  pacing: StorePacing;
  /** Whether the store is reachable; while it is not, only the watches probe it. */
  isStoreReachable: () => boolean;
  /** Called with the value of a record that another process has written under the key. */
  onForeignRecord: (value: string) => void;
  /** The record to publish; undefined while no target is known. */
  record: () => TargetRecord | undefined;
}

/** Publishes the record of this daemon's target in the store, bound to a lease. */
export class TargetAnnouncer {
  private lease: string | undefined;

  private publishedValue = '';

  private modRevision: number | undefined;

  private failures = 0;

  /** True when a round was requested that has not begun. */
  private isRoundDue = false;

  private interruptWait: (() => void) | undefined;

  constructor(private readonly options: TargetAnnouncerOptions) {}

  /** Starts the next round now instead of after the current wait. */
  publishSoon(): void {
    this.isRoundDue = true;
    this.interruptWait?.();
  }

  /** Publishes the record again if another process has written the key at a later revision. */
  republishReplaced(revision: number): void {
    if (this.modRevision === undefined || revision <= this.modRevision) return;
    this.publishedValue = '';
    this.publishSoon();
  }

  /** Publishes the record again after it was deleted from the store. */
  republishDeleted(): void {
    this.publishedValue = '';
    this.modRevision = undefined;
    this.publishSoon();
  }

  /** Runs until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.isRoundDue = false;
      const isDone = await this.publish();
      this.failures = isDone ? 0 : this.failures + 1;
      if (!this.isRoundDue) await this.wait(this.nextWaitMs(), signal);
    }
  }

  private nextWaitMs(): number {
    const { pacing, isStoreReachable } = this.options;
    if (this.failures === 0 || !isStoreReachable()) return RENEW_INTERVAL_MS;
    return pacing.retryWaitMs(this.failures);
  }

  private async wait(ms: number, signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    const waiting = new AbortController();
    this.interruptWait = () => waiting.abort();
    const stop = (): void => waiting.abort();
    signal.addEventListener('abort', stop, { once: true });
    await clock.sleep(ms, waiting.signal).catch(() => undefined);
    signal.removeEventListener('abort', stop);
    this.interruptWait = undefined;
  }

  /** One round: renews the lease and writes the record if it changed; false if a call failed. */
  private async publish(): Promise<boolean> {
    const record = this.options.record();
    if (!record) return true;
    if (!(await this.ensureLease())) return false;
    const value = JSON.stringify(record);
    if (value === this.publishedValue) return true;
    return this.writeRecord(value);
  }

  private async ensureLease(): Promise<boolean> {
    const { store, logger } = this.options;
    if (this.lease !== undefined) {
      const renewed = await store.renewLease(this.lease);
      if (renewed.isErr()) return this.logFailure('lease renewal failed', renewed.error);
      if (renewed.value > 0) return true;
      logger.log('warn', 'lease of the record has expired', { key: this.options.key });
      this.lease = undefined;
      this.publishedValue = '';
      this.modRevision = undefined;
    }
    const granted = await store.grantLease(LEASE_TTL_S);
    if (granted.isErr()) return this.logFailure('lease grant failed', granted.error);
    this.lease = granted.value;
    this.publishedValue = '';
    return true;
  }

  private logFailure(message: string, failure: Failure): false {
    const { key, logger } = this.options;
    logger.log('warn', message, { key, code: failure.code, reason: failure.message });
    return false;
  }

  private async writeRecord(value: string): Promise<boolean> {
    const { store, key, logger } = this.options;
    // If the record exists at another revision, the swap fails and returns that revision.
    const swapped = await store.swap(key, this.modRevision ?? 0, value, this.lease);
    if (swapped.isErr()) {
      // The write may have taken effect or may still do so, so the revision is unknown.
      this.modRevision = undefined;
      return this.logFailure('record write failed', swapped.error);
    }
    this.modRevision = swapped.value.current?.modRevision ?? 0;
    const { current } = swapped.value;
    if (!swapped.value.swapped) {
      if (current) this.options.onForeignRecord(current.value);
      return false;
    }
    this.publishedValue = value;
    logger.log('info', 'record written', { key, revision: this.modRevision });
    return true;
  }
}
