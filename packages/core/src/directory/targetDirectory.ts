import type { Clock } from '../runtime/clock.js';
import type { Logger } from '../observability/logger.js';
import { parseTargetRecord } from './targetRecord.js';
import type { TargetRecord } from './targetRecord.js';

/** Prefix of the records of all targets in the store. */
export const TARGETS_PREFIX = 'shallotcroft/targets/';

/**
 * Time that a lapsed record is still used after the store has become reachable, in milliseconds.
 * Live daemons write theirs again within two seconds of the store's return.
 */
const LAPSE_GRACE_MS = 2500;

/** A target that the daemon knows, by the key of its record. */
export interface KnownTarget {
  key: string;
  record: TargetRecord;
  /** When the record was last received, on the monotonic clock, in milliseconds. */
  heardAt: number;
  /** When its lease lapsed; undefined while the store holds it. */
  lapsedAt: number | undefined;
}

/** True when `record` is a later one of the same daemon run, or one of a later run. */
function isNewer(record: TargetRecord, known: TargetRecord): boolean {
  // Ids of runs sort by the time at which they began.
  if (known.incarnation !== record.incarnation) return record.incarnation > known.incarnation;
  return record.version > known.version;
}

/** All targets of the fleet as this daemon knows them. */
export class TargetDirectory {
  private readonly targets = new Map<string, KnownTarget>();

  private readonly services = new Map<string, KnownTarget[]>();

  /** Keys of records that may have lapsed. */
  private readonly lapsed = new Set<string>();

  private storeReachableSince: number | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Targets of a service, draining ones included. */
  of(service: string): KnownTarget[] {
    this.dropLapsed();
    return this.services.get(service) ?? [];
  }

  /** All known targets. */
  all(): KnownTarget[] {
    this.dropLapsed();
    return [...this.targets.values()];
  }

  /** Sets whether the store answers; lapsed records are kept while it does not. */
  setStoreReachable(reachable: boolean): void {
    if (!reachable) this.storeReachableSince = undefined;
    else this.storeReachableSince ??= this.clock.now();
  }

  /** Takes in a record of the store. */
  put(key: string, value: string): void {
    const record = parseTargetRecord(value);
    if (!record) {
      this.logger.log('warn', 'record of a target is not readable; ignored', { key });
      return;
    }
    this.learn(key, record);
  }

  /** Takes in a record unless a newer one of the same daemon run is known. */
  learn(key: string, record: TargetRecord): void {
    const known = this.targets.get(key);
    if (known && isNewer(known.record, record)) return;
    this.targets.set(key, { key, record, heardAt: this.clock.now(), lapsedAt: undefined });
    this.index();
    if (known?.record.version === record.version && known.lapsedAt === undefined) return;
    this.logger.log('info', 'target known', {
      key,
      service: record.service,
      target: record.targetId,
      state: record.state,
      recordVersion: record.version,
    });
  }

  /**
   * A record from another daemon that the store may not hold: it is used like one that has just
   * lapsed, until it is received again.
   */
  learnFromPeer(key: string, record: TargetRecord): void {
    const known = this.targets.get(key);
    if (known && known.lapsedAt === undefined && !isNewer(record, known.record)) return;
    this.learn(key, record);
    const learned = this.targets.get(key);
    if (!learned) return;
    learned.lapsedAt = this.clock.now();
    this.lapsed.add(key);
  }

  /** The store no longer holds the record: its lease lapsed or it was deleted. */
  remove(key: string): void {
    const known = this.targets.get(key);
    if (!known) return;
    if (known.record.state !== 'ready') this.drop(known, 'left');
    else {
      known.lapsedAt ??= this.clock.now();
      this.lapsed.add(key);
    }
  }

  private drop(known: KnownTarget, reason: string): void {
    this.targets.delete(known.key);
    this.lapsed.delete(known.key);
    this.index();
    this.logger.log('info', 'target dropped', {
      key: known.key,
      service: known.record.service,
      target: known.record.targetId,
      reason,
      ageMs: Math.round(this.clock.now() - known.heardAt),
    });
  }

  private dropLapsed(): void {
    const since = this.storeReachableSince;
    if (since === undefined || this.lapsed.size === 0) return;
    const now = this.clock.now();
    this.lapsed.forEach((key) => {
      const known = this.targets.get(key);
      if (known?.lapsedAt === undefined) this.lapsed.delete(key);
      else if (now - Math.max(known.lapsedAt, since) > LAPSE_GRACE_MS) this.drop(known, 'lapsed');
    });
  }

  private index(): void {
    this.services.clear();
    this.targets.forEach((known) => {
      const list = this.services.get(known.record.service) ?? [];
      list.push(known);
      this.services.set(known.record.service, list);
    });
  }
}
