import type { Clock } from '../runtime/clock.js';
import type { Logger } from '../observability/logger.js';
import type { Member } from './member.js';
import { FINAL_VERSION, incarnationOf, isValid, versionOf } from './memberUpdate.js';
import type { MemberUpdate } from './memberUpdate.js';
import { MemberTable } from './memberTable.js';
import type { PeerAddress } from '../peers/peer.js';
import { GossipQueue } from './gossipQueue.js';

/** Fields that a daemon may change in its own record. */
export type MemberChange = Partial<
  Pick<Member, 'service' | 'state' | 'homes' | 'callPort' | 'peerPort'>
>;

/**
 * Minimum age of a gone update that is disputed when this daemon holds the member as live, in
 * milliseconds.
 */
const MIN_DISPUTED_AGE_MS = 10_000;

/** Options of `MemberRecords`. */
export interface MemberRecordsOptions {
  self: Member;
  clock: Clock;
  logger: Logger;
  /** Called when another incarnation has taken over the address of this daemon. */
  onDisplaced?: (() => void) | undefined;
  /** Called when updates are queued for gossip. */
  onGossipQueued: () => void;
  /** Called with a live member and the disputed update that declares it gone. */
  onGoneDisputed: (member: Member, update: MemberUpdate) => void;
}

/** Member table of one daemon with its own record, and the updates queued for gossip. */
export class MemberRecords {
  private hasEnded = false;

  readonly table = new MemberTable();

  readonly queue = new GossipQueue();

  private readonly listeners = new Set<() => void>();

  private own: Member;

  constructor(private readonly options: MemberRecordsOptions) {
    this.own = options.self;
    this.table.apply({ kind: 'alive', member: this.own }, options.clock.now());
  }

  /** The record of this daemon. */
  get self(): Member {
    return this.own;
  }

  /** Returns whether the address is that of this daemon. */
  isOwnAddress({ address, port }: PeerAddress): boolean {
    return address === this.own.address && port === this.own.peerPort;
  }

  /** Changes the record of this daemon and increments its version; false if nothing differs. */
  change(change: MemberChange): boolean {
    const next = { ...this.own, ...change };
    if (JSON.stringify(next) === JSON.stringify(this.own)) return false;
    this.writeOwn(change, this.own.version + 1);
    this.notify();
    return true;
  }

  /** Applies updates and returns the newer updates that this daemon holds for them. */
  receive(updates: MemberUpdate[], shouldGossip: boolean): MemberUpdate[] {
    const before = this.table.changes;
    const newer = updates.map((one) => this.receiveOne(one, shouldGossip));
    if (this.queue.size > 0) this.options.onGossipQueued();
    if (this.table.changes !== before) this.notify();
    return newer.filter((one) => one !== undefined);
  }

  /** Removes all live records except that of this daemon. */
  removeOthers(): void {
    this.table.clearExcept(this.own.incarnation);
    this.notify();
  }

  /** Calls `listener` after each change; returns a function that removes the listener. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private notify(): void {
    this.listeners.forEach((listener) => listener());
  }

  private writeOwn(change: MemberChange, version: number): void {
    this.own = { ...this.own, ...change, version };
    const update: MemberUpdate = { kind: 'alive', member: this.own };
    this.table.apply(update, this.options.clock.now());
    this.queue.add(update);
  }

  private receiveOne(update: MemberUpdate, shouldGossip: boolean): MemberUpdate | undefined {
    if (!isValid(update)) return undefined;
    const incarnation = incarnationOf(update);
    if (incarnation === this.own.incarnation) {
      this.handleUpdateAboutSelf(update);
      return undefined;
    }
    const disputed = this.disputedMemberOf(update);
    if (disputed) {
      this.options.onGoneDisputed(disputed, update);
      return undefined;
    }
    const now = this.options.clock.now();
    const result = this.table.apply(update, now);
    if (result === 'older') return this.table.updateOf(incarnation, now);
    if (result === 'accepted' && shouldGossip) this.queue.add(update);
    if (result === 'accepted') this.endPredecessor(update);
    return undefined;
  }

  /** Marks this daemon as leaving: a final gone update about it is expected from now on. */
  markEnded(): void {
    this.hasEnded = true;
  }

  /**
   * Live member that an older gone update is about. Daemons on the other side of a partition
   * declared it gone, but it stayed reachable on this side. Accepting the update would remove the
   * member from routing until it has received and overruled the update.
   */
  private disputedMemberOf(update: MemberUpdate): Member | undefined {
    if (update.kind !== 'gone' || update.version === FINAL_VERSION) return undefined;
    if (update.ageMs < MIN_DISPUTED_AGE_MS) return undefined;
    const held = this.table.liveOf(update.incarnation);
    return held?.version === update.version ? held : undefined;
  }

  /**
   * Overrules a gone update about this daemon with a record of a higher version, unless it is
   * final.
   */
  private handleUpdateAboutSelf(update: MemberUpdate): void {
    const version = versionOf(update);
    const { incarnation } = this.own;
    if (update.kind === 'gone' && version === FINAL_VERSION) {
      if (this.hasEnded) return;
      this.hasEnded = true;
      const message = 'another incarnation has the address of this daemon; restart this daemon';
      this.options.logger.log('error', message, { incarnation });
      this.options.onDisplaced?.();
    } else if (update.kind === 'gone' && version >= this.own.version) {
      this.writeOwn({}, version + 1);
    }
  }

  /** Declares an earlier incarnation at this daemon's address gone. */
  private endPredecessor(update: MemberUpdate): void {
    if (update.kind !== 'alive') return;
    const { incarnation, address, peerPort } = update.member;
    if (!this.isOwnAddress({ address, port: peerPort })) return;
    this.receiveOne({ kind: 'gone', incarnation, version: FINAL_VERSION, ageMs: 0 }, true);
  }
}
