import type { Clock } from '../runtime/clock.js';
import type { Failure } from '../runtime/failure.js';
import type { Logger } from '../observability/logger.js';
import type { Store } from '../store/store.js';
import type { TargetRecord } from './targetRecord.js';

/** Time after which the record of a daemon that is gone lapses, in seconds. */
const LEASE_TTL_S = 3;
/** How often the lease is renewed, in milliseconds; two renewals may be lost. */
const RENEW_INTERVAL_MS = 900;
/** Wait after a failed call of the store, in milliseconds. */
const FAILURE_WAIT_MS = 300;

/** What the announcer needs. */
export interface TargetAnnouncerOptions {
  key: string;
  store: Store;
  clock: Clock;
  logger: Logger;
  /** The record to publish; undefined while no target is known. */
  record: () => TargetRecord | undefined;
}

/** Keeps the record of this daemon's target in the store, under a lease. */
export class TargetAnnouncer {
  private lease: string | undefined;

  private written = '';

  private revision: number | undefined;

  private wake: (() => void) | undefined;

  constructor(private readonly options: TargetAnnouncerOptions) {}

  /** Has the record written again soon. */
  touch(): void {
    this.wake?.();
  }

  /** The record was deleted from the store; it is written again. */
  forget(): void {
    this.written = '';
    this.revision = undefined;
    this.touch();
  }

  /** Runs until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      const done = await this.announce();
      await this.pause(done ? RENEW_INTERVAL_MS : FAILURE_WAIT_MS, signal, clock);
    }
  }

  private async pause(ms: number, signal: AbortSignal, clock: Clock): Promise<void> {
    const early = new AbortController();
    this.wake = () => early.abort();
    const stop = (): void => early.abort();
    signal.addEventListener('abort', stop, { once: true });
    await clock.sleep(ms, early.signal).catch(() => undefined);
    signal.removeEventListener('abort', stop);
    this.wake = undefined;
  }

  /** One round: renew the lease, and write the record if it changed; false when a call failed. */
  private async announce(): Promise<boolean> {
    const record = this.options.record();
    if (!record) return true;
    if (!(await this.holdLease())) return false;
    const value = JSON.stringify(record);
    if (value === this.written) return true;
    return this.write(value);
  }

  private async holdLease(): Promise<boolean> {
    const { store, logger } = this.options;
    if (this.lease !== undefined) {
      const kept = await store.keepLease(this.lease);
      if (kept.isErr()) return this.fail('lease not renewed', kept.error);
      if (kept.value > 0) return true;
      logger.log('warn', 'lease of the record has lapsed', { key: this.options.key });
      this.lease = undefined;
      this.written = '';
      this.revision = undefined;
    }
    const granted = await store.grantLease(LEASE_TTL_S);
    if (granted.isErr()) return this.fail('lease not granted', granted.error);
    this.lease = granted.value;
    this.written = '';
    return true;
  }

  private fail(message: string, failure: Failure): false {
    const { key, logger } = this.options;
    logger.log('warn', message, { key, code: failure.code, reason: failure.message });
    return false;
  }

  private async write(value: string): Promise<boolean> {
    const { store, key, logger } = this.options;
    if (this.revision === undefined) {
      const found = await store.get(key);
      if (found.isErr()) return this.fail('record not read', found.error);
      this.revision = found.value?.modRevision ?? 0;
    }
    const swapped = await store.swap(key, this.revision, value, this.lease);
    if (swapped.isErr()) {
      // The write may have taken effect, now or later: read before the next try.
      this.revision = undefined;
      return this.fail('record not written', swapped.error);
    }
    this.revision = swapped.value.current?.modRevision ?? 0;
    if (!swapped.value.swapped) return false;
    this.written = value;
    logger.log('info', 'record written', { key, revision: this.revision });
    return true;
  }
}
