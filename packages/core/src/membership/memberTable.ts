import { hashText } from '../runtime/hash.js';
import type { Member } from './member.js';
import { FINAL_VERSION } from './memberUpdate.js';
import type { GoneUpdate, MemberUpdate } from './memberUpdate.js';
import type { RandomSource } from '../runtime/random.js';

/** Number of hash buckets used to compare tables. */
export const BUCKET_COUNT = 256;

/**
 * How long tombstones are kept, in milliseconds. Must be longer than any update can be in transit,
 * and longer than a daemon may be paused without dropping its table.
 */
export const TOMBSTONE_RETENTION_MS = 6 * 60 * 60 * 1000;

/** Record that an incarnation is gone. */
export interface Tombstone {
  incarnation: string;
  version: number;
  /** Time at which it was declared gone, on the monotonic clock, in milliseconds. */
  goneAt: number;
  /** Last record of the incarnation, if this daemon ever held it. */
  member: Member | undefined;
}

/** Result of applying an update: newer than the table, equal to it, or older. */
export type UpdateResult = 'accepted' | 'known' | 'older';

/** Version of an incarnation in a table. */
export interface VersionEntry {
  incarnation: string;
  version: number;
}

/** Bucket that an incarnation belongs to. */
export function bucketOf(incarnation: string): number {
  return hashText(incarnation) % BUCKET_COUNT;
}

function isTarget(member: Member): boolean {
  return member.service !== '' && member.state === 'serving';
}

/** Live records and tombstones of the incarnations known to one daemon. */
export class MemberTable {
  private readonly live: Member[] = [];

  private readonly positions = new Map<string, number>();

  private readonly tombstones = new Map<string, Tombstone>();

  private readonly targets = new Map<string, Map<string, Member>>();

  private readonly buckets = new Uint32Array(BUCKET_COUNT);

  private changeCount = 0;

  /** Number of changes so far. */
  get changes(): number {
    return this.changeCount;
  }

  /** Applies an update if it is newer than what the table holds. */
  apply(update: MemberUpdate, now: number): UpdateResult {
    const result =
      update.kind === 'alive' ? this.applyAlive(update.member) : this.applyGone(update, now);
    if (result === 'accepted') this.changeCount += 1;
    return result;
  }

  /** The live record of an incarnation. */
  liveOf(incarnation: string): Member | undefined {
    const position = this.positions.get(incarnation);
    return position === undefined ? undefined : this.live[position];
  }

  /** The tombstone of an incarnation. */
  tombstoneOf(incarnation: string): Tombstone | undefined {
    return this.tombstones.get(incarnation);
  }

  /** Number of live records. */
  get size(): number {
    return this.live.length;
  }

  /** Live records, in no particular order. */
  liveMembers(): readonly Member[] {
    return this.live;
  }

  /** Tombstones within their retention time. */
  goneMembers(): Tombstone[] {
    return [...this.tombstones.values()];
  }

  /** Members with a serving target of `service`. */
  targetsOf(service: string): Member[] {
    return [...(this.targets.get(service)?.values() ?? [])];
  }

  /** Up to `count` distinct random live members that satisfy `accept`. */
  sample(random: RandomSource, count: number, accept: (member: Member) => boolean): Member[] {
    const chosen = new Set<Member>();
    const tries = count * 8 + 8;
    for (let attempt = 0; attempt < tries && chosen.size < count; attempt++) {
      const member = this.live[Math.floor(random.next() * this.live.length)];
      if (member && accept(member)) chosen.add(member);
    }
    return [...chosen];
  }

  /** What the table holds about an incarnation, as an update. */
  updateOf(incarnation: string, now: number): MemberUpdate | undefined {
    const member = this.liveOf(incarnation);
    if (member) return { kind: 'alive', member };
    const tombstone = this.tombstones.get(incarnation);
    if (!tombstone) return undefined;
    const { version, goneAt } = tombstone;
    return { kind: 'gone', incarnation, version, ageMs: now - goneAt };
  }

  /** Hash of all live records; equal tables have equal hashes. */
  rootHash(): number {
    let root = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      root = Math.imul(root, 31) + (this.buckets[bucket] as number);
    }
    return root >>> 0;
  }

  /** Hash of the live records of each bucket. */
  bucketHashes(): Uint32Array {
    return this.buckets.slice();
  }

  /** Versions of the live records in the given buckets. */
  versionsIn(buckets: ReadonlySet<number>): VersionEntry[] {
    return this.live
      .filter((member) => buckets.has(bucketOf(member.incarnation)))
      .map(({ incarnation, version }) => ({ incarnation, version }));
  }

  /** Removes tombstones older than `TOMBSTONE_RETENTION_MS`. */
  dropExpiredTombstones(now: number): void {
    this.tombstones.forEach((tombstone, incarnation) => {
      if (now - tombstone.goneAt > TOMBSTONE_RETENTION_MS) this.tombstones.delete(incarnation);
    });
  }

  /** Removes all live records except that of `kept`; tombstones stay. */
  clearExcept(kept: string): void {
    [...this.live].forEach((member) => {
      if (member.incarnation !== kept) this.removeLive(member);
    });
  }

  private applyAlive(member: Member): UpdateResult {
    const tombstone = this.tombstones.get(member.incarnation);
    if (tombstone && member.version <= tombstone.version) return 'older';
    const current = this.liveOf(member.incarnation);
    if (current && member.version === current.version) return 'known';
    if (current && member.version < current.version) return 'older';
    this.tombstones.delete(member.incarnation);
    if (current) this.removeLive(current);
    this.addLive(member);
    return 'accepted';
  }

  private applyGone(update: GoneUpdate, now: number): UpdateResult {
    const current = this.liveOf(update.incarnation);
    if (current && update.version < current.version) return 'older';
    const tombstone = this.tombstones.get(update.incarnation);
    if (tombstone && update.version === tombstone.version) return 'known';
    if (tombstone && update.version < tombstone.version) return 'older';
    if (!current && update.ageMs > TOMBSTONE_RETENTION_MS) return 'known';
    if (current) this.removeLive(current);
    const last = current ?? tombstone?.member;
    this.tombstones.set(update.incarnation, {
      incarnation: update.incarnation,
      version: update.version,
      goneAt: now - update.ageMs,
      member: last && { ...last, state: 'gone' },
    });
    return 'accepted';
  }

  private addLive(member: Member): void {
    this.positions.set(member.incarnation, this.live.length);
    this.live.push(member);
    this.toggleHash(member);
    if (isTarget(member)) this.addTarget(member);
  }

  private removeLive(member: Member): void {
    const position = this.positions.get(member.incarnation) as number;
    const last = this.live.pop() as Member;
    this.positions.delete(member.incarnation);
    if (last !== member) {
      this.live[position] = last;
      this.positions.set(last.incarnation, position);
    }
    this.toggleHash(member);
    this.removeTarget(member);
  }

  private addTarget(member: Member): void {
    const targets = this.targets.get(member.service) ?? new Map<string, Member>();
    targets.set(member.incarnation, member);
    this.targets.set(member.service, targets);
  }

  private removeTarget(member: Member): void {
    const targets = this.targets.get(member.service);
    targets?.delete(member.incarnation);
    if (targets?.size === 0) this.targets.delete(member.service);
  }

  private toggleHash({ incarnation, version }: Member): void {
    const bucket = bucketOf(incarnation);
    const hash = hashText(`${incarnation}:${version}`);
    this.buckets[bucket] = (this.buckets[bucket] as number) ^ hash;
  }
}

/** Returns whether the incarnation can never become live again. */
export function isFinal(tombstone: Tombstone): boolean {
  return tombstone.version === FINAL_VERSION;
}
