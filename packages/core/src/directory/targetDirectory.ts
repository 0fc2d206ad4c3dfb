import type { Clock } from '../runtime/clock.js';
import type { Logger } from '../observability/logger.js';
import { parseTargetRecord } from './targetRecord.js';
import type { TargetRecord } from './targetRecord.js';

/** Prefix of the store keys of all target records. */
export const TARGET_KEY_PREFIX = 'shallotcroft/targets/';

/**
 * Time for which an expired record is still used after the store has become reachable, in
 * milliseconds. Running daemons write their records again within two seconds of the store's return.
 */
const GRACE_MS = 2500;

/** A known target and the state of its record. */
export interface KnownTarget {
  /** Store key of the record. */
  key: string;
  record: TargetRecord;
  /** Monotonic time at which the record was last received, in milliseconds. */
  receivedAt: number;
  /** Monotonic time at which the record expired, in milliseconds; undefined while it is valid. */
  expiredAt: number | undefined;
}

/** True if `record` is from a later incarnation, or a later version from the same one. */
function isNewer(record: TargetRecord, known: TargetRecord): boolean {
  // Incarnation ids sort by start time.
  if (known.incarnation !== record.incarnation) return record.incarnation > known.incarnation;
  return record.version > known.version;
}

/** All targets of the fleet that are known to this daemon. */
export class TargetDirectory {
  private readonly targetsByKey = new Map<string, KnownTarget>();

  private readonly targetsByService = new Map<string, KnownTarget[]>();

  /** Keys of records that may have expired. */
  private readonly expiredKeys = new Set<string>();

  private storeReachableSince: number | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Targets of a service, including draining ones. */
  targetsOf(service: string): KnownTarget[] {
    this.dropExpired();
    return this.targetsByService.get(service) ?? [];
  }

  /** All known targets. */
  all(): KnownTarget[] {
    this.dropExpired();
    return [...this.targetsByKey.values()];
  }

  /** Sets whether the store is reachable; expired records are kept while it is not. */
  setStoreReachable(isReachable: boolean): void {
    if (!isReachable) this.storeReachableSince = undefined;
    else this.storeReachableSince ??= this.clock.now();
  }

  /** Adds or replaces the record that the store holds under `key`; invalid records are ignored. */
  updateFromStore(key: string, value: string): void {
    const record = parseTargetRecord(value);
    if (!record) {
      this.logger.log('warn', 'invalid target record ignored', { key });
      return;
    }
    this.update(key, record);
  }

  /** Adds or replaces a record unless a newer one is known. */
  update(key: string, record: TargetRecord): void {
    const known = this.targetsByKey.get(key);
    if (known && isNewer(known.record, record)) return;
    this.targetsByKey.set(key, { key, record, receivedAt: this.clock.now(), expiredAt: undefined });
    this.rebuildServiceIndex();
    if (known?.record.version === record.version && known.expiredAt === undefined) return;
    this.logger.log('info', 'target record updated', {
      key,
      service: record.service,
      target: record.targetId,
      state: record.state,
      recordVersion: record.version,
    });
  }

  /**
   * Adds or replaces a record received from another daemon. The store may not hold it, so it is
   * treated as just expired until it is received again.
   */
  updateFromPeer(key: string, record: TargetRecord): void {
    const known = this.targetsByKey.get(key);
    if (known && known.expiredAt === undefined && !isNewer(record, known.record)) return;
    this.update(key, record);
    const updated = this.targetsByKey.get(key);
    if (!updated) return;
    updated.expiredAt = this.clock.now();
    this.expiredKeys.add(key);
  }

  /** Handles a record that the store no longer holds: its lease expired or it was deleted. */
  remove(key: string): void {
    const known = this.targetsByKey.get(key);
    if (!known) return;
    if (known.record.state !== 'ready') this.drop(known, 'left');
    else {
      known.expiredAt ??= this.clock.now();
      this.expiredKeys.add(key);
    }
  }

  private drop(known: KnownTarget, reason: string): void {
    this.targetsByKey.delete(known.key);
    this.expiredKeys.delete(known.key);
    this.rebuildServiceIndex();
    this.logger.log('info', 'target removed', {
      key: known.key,
      service: known.record.service,
      target: known.record.targetId,
      reason,
      ageMs: Math.round(this.clock.now() - known.receivedAt),
    });
  }

  private dropExpired(): void {
    const since = this.storeReachableSince;
    if (since === undefined || this.expiredKeys.size === 0) return;
    const now = this.clock.now();
    this.expiredKeys.forEach((key) => {
      const known = this.targetsByKey.get(key);
      if (known?.expiredAt === undefined) this.expiredKeys.delete(key);
      else if (now - Math.max(known.expiredAt, since) > GRACE_MS) this.drop(known, 'lapsed');
    });
  }

  private rebuildServiceIndex(): void {
    this.targetsByService.clear();
    this.targetsByKey.forEach((known) => {
      const list = this.targetsByService.get(known.record.service) ?? [];
      list.push(known);
      this.targetsByService.set(known.record.service, list);
    });
  }
}
