import type { Clock } from '../runtime/clock.js';
import type { Logger } from '../observability/logger.js';
import type { Member } from './member.js';
import type { MemberUpdate } from './memberUpdate.js';
import type { MemberTable } from './memberTable.js';
import type { PeerAddress, PeerCaller, PeerMethods } from '../peers/peer.js';
import type { RandomSource } from '../runtime/random.js';
import type { GossipQueue } from './gossipQueue.js';

/** Names of the control methods of membership. */
export const MembershipMethod = {
  exchange: 'membership.exchange',
  ping: 'membership.ping',
  probe: 'membership.probe',
  compare: 'membership.compare',
  sync: 'membership.sync',
  pull: 'membership.pull',
} as const;

/** A small value of another part that rides on every exchange. */
export interface PiggybackedValue {
  name: string;
  /** The value of this daemon. */
  value(): number;
  /** Called with the value of the daemon at `from`. */
  received(from: PeerAddress, value: number): void;
}

/** What the parts of membership share. */
export interface MembershipContext {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly peers: PeerCaller;
  readonly methods: PeerMethods;
  readonly logger: Logger;
  readonly table: MemberTable;
  readonly queue: GossipQueue;
  /** Aborted when membership stops. */
  readonly stopped: AbortSignal;
  /** Record of this daemon. */
  self(): Member;
  /** Takes news in and passes on what is new; returns what this daemon knows better. */
  receive(updates: MemberUpdate[]): MemberUpdate[];
  /** Takes news in that everyone else has already; it is not passed on. */
  fill(updates: MemberUpdate[]): MemberUpdate[];
  /** Other live members at random. */
  others(count: number, accept?: (member: Member) => boolean): Member[];
}

/** Where a member listens for control messages. */
export function peerAddressOf(member: Member): PeerAddress {
  return { address: member.address, port: member.peerPort };
}
