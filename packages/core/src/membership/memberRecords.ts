import type { Clock } from '../runtime/clock.js';
import type { Logger } from '../observability/logger.js';
import type { Member } from './member.js';
import { FINAL_VERSION, incarnationOf, isUsable, versionOf } from './memberUpdate.js';
import type { MemberUpdate } from './memberUpdate.js';
import { MemberTable } from './memberTable.js';
import type { PeerAddress } from '../peers/peer.js';
import { GossipQueue } from './gossipQueue.js';

/** What a daemon may change in its own record. */
export type MemberChange = Partial<
  Pick<Member, 'service' | 'state' | 'homes' | 'callPort' | 'peerPort'>
>;

/** Age from which news that a member is gone is doubted by those who hold it for live, in milliseconds. */
const DOUBTED_AGE_MS = 10_000;

/** What the records of a daemon are made of. */
export interface MemberRecordsOptions {
  self: Member;
  clock: Clock;
  logger: Logger;
  onDisplaced?: (() => void) | undefined;
  /** Called when there is news to pass on. */
  onRumour: () => void;
  /** Called with a live member and the doubtful news that it is gone. */
  onDoubt: (member: Member, update: MemberUpdate) => void;
}

/** The table of one daemon, its own record in it, and the news that it passes on. */
export class MemberRecords {
  private ended = false;

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

  /** True for the address of this daemon. */
  isOwnAddress({ address, port }: PeerAddress): boolean {
    return address === this.own.address && port === this.own.peerPort;
  }

  /** Changes the record of this daemon and raises its version; false when nothing differs. */
  change(change: MemberChange): boolean {
    const next = { ...this.own, ...change };
    if (JSON.stringify(next) === JSON.stringify(this.own)) return false;
    this.writeOwn(change, this.own.version + 1);
    this.notify();
    return true;
  }

  /** Takes news in and returns what is known better here. */
  receive(updates: MemberUpdate[], passOn: boolean): MemberUpdate[] {
    const before = this.table.changes;
    const better = updates.map((one) => this.receiveOne(one, passOn));
    if (this.queue.size > 0) this.options.onRumour();
    if (this.table.changes !== before) this.notify();
    return better.filter((one) => one !== undefined);
  }

  /** Forgets all live records but the own. */
  forgetOthers(): void {
    this.table.clearExcept(this.own.incarnation);
    this.notify();
  }

  /** Calls `listener` after each change; returns a function that stops it. */
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

  private receiveOne(update: MemberUpdate, passOn: boolean): MemberUpdate | undefined {
    if (!isUsable(update)) return undefined;
    const incarnation = incarnationOf(update);
    if (incarnation === this.own.incarnation) {
      this.hearAboutSelf(update);
      return undefined;
    }
    const doubted = this.doubtedMember(update);
    if (doubted) {
      this.options.onDoubt(doubted, update);
      return undefined;
    }
    const now = this.options.clock.now();
    const verdict = this.table.apply(update, now);
    if (verdict === 'older') return this.table.updateOf(incarnation, now);
    if (verdict === 'accepted' && passOn) this.queue.add(update);
    if (verdict === 'accepted') this.displacePredecessor(update);
    return undefined;
  }

  /** From now on it is no surprise to hear that this daemon is gone. */
  end(): void {
    this.ended = true;
  }

  /**
   * A member that others took for gone a while ago, and that daemons here have reached since: they
   * were cut off from it. Believing them would hide it until it has heard and overruled them.
   */
  private doubtedMember(update: MemberUpdate): Member | undefined {
    if (update.kind !== 'gone' || update.version === FINAL_VERSION) return undefined;
    if (update.ageMs < DOUBTED_AGE_MS) return undefined;
    const held = this.table.liveOf(update.incarnation);
    return held?.version === update.version ? held : undefined;
  }

  /** News about this daemon: what is wrong is overruled by a record with a higher version. */
  private hearAboutSelf(update: MemberUpdate): void {
    const version = versionOf(update);
    const { incarnation } = this.own;
    if (update.kind === 'gone' && version === FINAL_VERSION) {
      if (this.ended) return;
      this.ended = true;
      const message = 'another incarnation has this address; restart this daemon';
      this.options.logger.log('error', message, { incarnation });
      this.options.onDisplaced?.();
    } else if (update.kind === 'gone' && version >= this.own.version) {
      this.writeOwn({}, version + 1);
    }
  }

  /** An incarnation that had this daemon's address before has surely ended. */
  private displacePredecessor(update: MemberUpdate): void {
    if (update.kind !== 'alive') return;
    const { incarnation, address, peerPort } = update.member;
    if (!this.isOwnAddress({ address, port: peerPort })) return;
    this.receiveOne({ kind: 'gone', incarnation, version: FINAL_VERSION, ageMs: 0 }, true);
  }
}
