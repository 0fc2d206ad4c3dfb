import type { Clock } from '../runtime/clock.js';
import type { Logger } from '../observability/logger.js';
import type { Member } from './member.js';
import { FINAL_VERSION, incarnationOf, isUsable, versionOf } from './memberNews.js';
import type { MemberNews } from './memberNews.js';
import { MemberTable } from './memberTable.js';
import type { PeerAddress } from '../peers/peer.js';
import { RumourQueue } from './rumourQueue.js';

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
  onDoubt: (member: Member, news: MemberNews) => void;
}

/** The table of one daemon, its own record in it, and the news that it passes on. */
export class MemberRecords {
  private ended = false;

  readonly table = new MemberTable();

  readonly queue = new RumourQueue();

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
  receive(news: MemberNews[], passOn: boolean): MemberNews[] {
    const before = this.table.changes;
    const better = news.map((one) => this.receiveOne(one, passOn));
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
    const news: MemberNews = { kind: 'alive', member: this.own };
    this.table.apply(news, this.options.clock.now());
    this.queue.add(news);
  }

  private receiveOne(news: MemberNews, passOn: boolean): MemberNews | undefined {
    if (!isUsable(news)) return undefined;
    const incarnation = incarnationOf(news);
    if (incarnation === this.own.incarnation) {
      this.hearAboutSelf(news);
      return undefined;
    }
    const doubted = this.doubtedMember(news);
    if (doubted) {
      this.options.onDoubt(doubted, news);
      return undefined;
    }
    const now = this.options.clock.now();
    const verdict = this.table.apply(news, now);
    if (verdict === 'older') return this.table.newsOf(incarnation, now);
    if (verdict === 'accepted' && passOn) this.queue.add(news);
    if (verdict === 'accepted') this.displacePredecessor(news);
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
  private doubtedMember(news: MemberNews): Member | undefined {
    if (news.kind !== 'gone' || news.version === FINAL_VERSION) return undefined;
    if (news.ageMs < DOUBTED_AGE_MS) return undefined;
    const held = this.table.liveOf(news.incarnation);
    return held?.version === news.version ? held : undefined;
  }

  /** News about this daemon: what is wrong is overruled by a record with a higher version. */
  private hearAboutSelf(news: MemberNews): void {
    const version = versionOf(news);
    const { incarnation } = this.own;
    if (news.kind === 'gone' && version === FINAL_VERSION) {
      if (this.ended) return;
      this.ended = true;
      const message = 'another incarnation has this address; restart this daemon';
      this.options.logger.log('error', message, { incarnation });
      this.options.onDisplaced?.();
    } else if (news.kind === 'gone' && version >= this.own.version) {
      this.writeOwn({}, version + 1);
    }
  }

  /** An incarnation that had this daemon's address before has surely ended. */
  private displacePredecessor(news: MemberNews): void {
    if (news.kind !== 'alive') return;
    const { incarnation, address, peerPort } = news.member;
    if (!this.isOwnAddress({ address, port: peerPort })) return;
    this.receiveOne({ kind: 'gone', incarnation, version: FINAL_VERSION, ageMs: 0 }, true);
  }
}
