import type { Clock } from '../runtime/clock.js';
import type { Logger } from '../observability/logger.js';
import type { Member } from './member.js';
import type { MemberUpdate } from './memberUpdate.js';
import type { MemberTable } from './memberTable.js';
import type { PeerAddress, PeerCaller, PeerMethods } from '../peers/peer.js';
import type { RandomSource } from '../runtime/random.js';
import type { GossipQueue } from './gossipQueue.js';

/** Names of the control methods of the membership protocol. */
export const MembershipMethod = {
  exchange: 'membership.exchange',
  ping: 'membership.ping',
  probe: 'membership.probe',
  compare: 'membership.compare',
  sync: 'membership.sync',
  pull: 'membership.pull',
} as const;

/** A number of another component that is piggybacked on every exchange. */
export interface PiggybackedValue {
  name: string;
  /** The value of this daemon. */
  value(): number;
  /** Called with the value of the daemon at `from`. */
  received(from: PeerAddress, value: number): void;
}

/** State and dependencies shared by the components of membership. */
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
  /**
   * Applies updates and queues new ones for gossip; returns the newer updates that this daemon
   * holds.
   */
  receive(updates: MemberUpdate[]): MemberUpdate[];
  /** Applies updates that the other members hold already, without queueing them for gossip. */
  receiveWithoutGossip(updates: MemberUpdate[]): MemberUpdate[];
  /** Up to `count` random live members other than this daemon. */
  randomMembers(count: number, accept?: (member: Member) => boolean): Member[];
}

/** Address at which a member listens for control messages. */
export function peerAddressOf(member: Member): PeerAddress {
  return { address: member.address, port: member.peerPort };
}
