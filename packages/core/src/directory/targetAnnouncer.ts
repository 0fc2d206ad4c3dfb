import type { Clock } from '../runtime/clock.js';
import type { Failure } from '../runtime/failure.js';
import type { Logger } from '../observability/logger.js';
import type { Store } from '../store/store.js';
import type { TargetRecord } from './targetRecord.js';

/** Time after which the record of a daemon that has stopped expires, in seconds. */
const LEASE_TTL_S = 3;

/** Interval of lease renewals, in milliseconds; tolerates two lost renewals. */
const RENEW_INTERVAL_MS = 900;

/** Delay before the next attempt after a failed store call, in milliseconds. */
const RETRY_DELAY_MS = 300;

/** Options of `TargetAnnouncer`. */
export interface TargetAnnouncerOptions {
  /** Store key of the record. */
  key: string;
  store: Store;
  clock: Clock;
  logger: Logger;
  /** The record to publish; undefined while no target is known. */
  record: () => TargetRecord | undefined;
}

/** Publishes the record of this daemon's target in the store, bound to a lease. */
export class TargetAnnouncer {
  private lease: string | undefined;

  private publishedValue = '';

  private modRevision: number | undefined;

  private interruptWait: (() => void) | undefined;

  constructor(private readonly options: TargetAnnouncerOptions) {}

  /** Starts the next round now instead of after the current wait. */
  publishSoon(): void {
    this.interruptWait?.();
  }

  /** Publishes the record again after it was deleted from the store. */
  republishDeleted(): void {
    this.publishedValue = '';
    this.modRevision = undefined;
    this.publishSoon();
  }

  /** Runs until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      const isDone = await this.publish();
      await this.wait(isDone ? RENEW_INTERVAL_MS : RETRY_DELAY_MS, signal, clock);
    }
  }

  private async wait(ms: number, signal: AbortSignal, clock: Clock): Promise<void> {
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
    if (this.modRevision === undefined) {
      const found = await store.get(key);
      if (found.isErr()) return this.logFailure('record read failed', found.error);
      this.modRevision = found.value?.modRevision ?? 0;
    }
    const swapped = await store.swap(key, this.modRevision, value, this.lease);
    if (swapped.isErr()) {
      // The write may have taken effect or may still do so: read the record before the next attempt.
      this.modRevision = undefined;
      return this.logFailure('record write failed', swapped.error);
    }
    this.modRevision = swapped.value.current?.modRevision ?? 0;
    if (!swapped.value.swapped) return false;
    this.publishedValue = value;
    logger.log('info', 'record written', { key, revision: this.modRevision });
    return true;
  }
}
