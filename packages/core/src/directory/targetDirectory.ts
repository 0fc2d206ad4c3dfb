import type { Clock } from '../runtime/clock.js';
import type { Logger } from '../observability/logger.js';
import { LeavingRuns } from './leavingRuns.js';
import { parseTargetRecord } from './targetRecord.js';
import type { TargetRecord } from './targetRecord.js';
import type { TargetRun } from './targetRun.js';

/** Prefix of the store keys of all target records. */
export const TARGET_KEY_PREFIX = 'shallotcroft/targets/';

/**
 * Time for which an expired record is still used after the store has become reachable, in
 * milliseconds. Running daemons write their records again within two seconds of the store's return.
 */
const GRACE_MS = 2500;

/**
 * Time after its last response for which a daemon counts as running although its record has expired,
 * in milliseconds. The store may turn away a host that other hosts reach.
 */
const CONTACT_GRACE_MS = 10_000;

/** A known target and the state of its record. */
export interface KnownTarget {
  /** Store key of the record. */
  key: string;
  record: TargetRecord;
  /** Monotonic time at which the record was last received, in milliseconds. */
  receivedAt: number;
  /** Revision at which the store held the record; 0 if only other daemons have reported it. */
  storeRevision: number;
  /** Monotonic time at which the record expired, in milliseconds; undefined while it is valid. */
  expiredAt: number | undefined;
  /** Monotonic time of the last response of the target's daemon, in milliseconds. */
  contactAt: number | undefined;
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

  private readonly leavingRuns: LeavingRuns;

  private readonly leavingListeners: ((key: string, run: TargetRun) => void)[] = [];

  private storeReachableSince: number | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.leavingRuns = new LeavingRuns(clock);
  }

  /** Calls `listener` when a run of a target becomes known as leaving. */
  onLeaving(listener: (key: string, run: TargetRun) => void): void {
    this.leavingListeners.push(listener);
  }

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

  /** Number of known targets, including expired ones that are about to be dropped. */
  get size(): number {
    return this.targetsByKey.size;
  }

  /** The target with the record `key`, if it is known. */
  get(key: string): KnownTarget | undefined {
    return this.targetsByKey.get(key);
  }

  /** Sets whether the store is reachable; expired records are kept while it is not. */
  setStoreReachable(isReachable: boolean): void {
    if (!isReachable) this.storeReachableSince = undefined;
    else this.storeReachableSince ??= this.clock.now();
  }

  /** Adds or replaces the record that the store holds under `key`; invalid records are ignored. */
  updateFromStore(key: string, value: string, revision: number): void {
    const record = parseTargetRecord(value);
    if (!record) {
      this.logger.log('warn', 'invalid target record ignored', { key });
      return;
    }
    this.recordLeavingOf(key, record);
    const known = this.targetsByKey.get(key);
    // The store orders the incarnations of a daemon; its clock may have been set back in between.
    const replacesIncarnation =
      known !== undefined &&
      known.record.incarnation !== record.incarnation &&
      revision > known.storeRevision &&
      known.storeRevision > 0;
    if (!replacesIncarnation && known && isNewer(known.record, record)) return;
    this.put(key, record, revision);
  }

  /** Adds or replaces a record unless a newer one is known. */
  update(key: string, record: TargetRecord): void {
    this.recordLeavingOf(key, record);
    const known = this.targetsByKey.get(key);
    if (known && isNewer(known.record, record)) return;
    this.put(key, record, known?.storeRevision ?? 0);
  }

  /**
   * Records that a run of the target with the record `key` is leaving. It gets no further requests,
   * even if a record reports it as ready: the daemon beside it may have lost what it knew.
   */
  recordLeaving(key: string, run: TargetRun): void {
    if (!this.leavingRuns.add(key, run)) return;
    const { targetId, startedAt } = run;
    this.logger.log('info', 'target known as leaving', { key, target: targetId, startedAt });
    const known = this.targetsByKey.get(key);
    if (known) known.record = this.withKnownLeaving(key, known.record);
    this.leavingListeners.forEach((listener) => listener(key, run));
  }

  /** Records a response of a daemon, which keeps its record in use after the record has expired. */
  recordContact(key: string, incarnation: string): void {
    const known = this.targetsByKey.get(key);
    if (known?.record.incarnation === incarnation) known.contactAt = this.clock.now();
  }

  /**
   * Adds or replaces a record received from another daemon. The store may not hold it, so it is
   * treated as just expired until it is received again.
   */
  updateFromPeer(key: string, record: TargetRecord): void {
    this.recordLeavingOf(key, record);
    const known = this.targetsByKey.get(key);
    if (known && isNewer(known.record, record)) return;
    const isSame = known !== undefined && !isNewer(record, known.record);
    if (isSame && known.expiredAt === undefined) return;
    const target = isSame ? known : this.put(key, record, known?.storeRevision ?? 0);
    target.expiredAt = this.clock.now();
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

  private recordLeavingOf(key: string, record: TargetRecord): void {
    if (record.state === 'draining' || record.hasTargetLeft) this.recordLeaving(key, record);
  }

  /** The record with the state `draining` if it reports a run as ready that is leaving. */
  private withKnownLeaving(key: string, record: TargetRecord): TargetRecord {
    const isContradicted = record.state === 'ready' && this.leavingRuns.has(key, record);
    return isContradicted ? { ...record, state: 'draining' } : record;
  }

  /** Stores a valid record and returns its entry. */
  private put(key: string, received: TargetRecord, storeRevision: number): KnownTarget {
    const record = this.withKnownLeaving(key, received);
    const known = this.targetsByKey.get(key);
    if (known) this.removeFromService(known);
    const receivedAt = this.clock.now();
    const contactAt =
      known?.record.incarnation === record.incarnation ? known.contactAt : undefined;
    const target: KnownTarget = {
      key,
      record,
      receivedAt,
      storeRevision,
      expiredAt: undefined,
      contactAt,
    };
    this.targetsByKey.set(key, target);
    const targets = this.targetsByService.get(record.service);
    if (targets) targets.push(target);
    else this.targetsByService.set(record.service, [target]);
    const isUnchanged =
      known?.record.version === record.version &&
      known.record.incarnation === record.incarnation &&
      known.expiredAt === undefined;
    if (!isUnchanged) {
      this.logger.log('info', 'target record updated', {
        key,
        service: record.service,
        target: record.targetId,
        state: record.state,
        recordVersion: record.version,
      });
    }
    return target;
  }

  private removeFromService(target: KnownTarget): void {
    const { service } = target.record;
    const others = this.targetsByService.get(service)?.filter((known) => known !== target) ?? [];
    if (others.length > 0) this.targetsByService.set(service, others);
    else this.targetsByService.delete(service);
  }

  private drop(known: KnownTarget, reason: string): void {
    this.targetsByKey.delete(known.key);
    this.expiredKeys.delete(known.key);
    this.removeFromService(known);
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
      else if (now - Math.max(known.expiredAt, since) > GRACE_MS && !this.hasContact(known)) {
        this.drop(known, 'lapsed');
      }
    });
  }

  private hasContact({ contactAt }: KnownTarget): boolean {
    return contactAt !== undefined && this.clock.now() - contactAt < CONTACT_GRACE_MS;
  }
}
