import type { OutcomeTableLimits } from './outcomeTable.js';
import type { Clock } from '../runtime/clock.js';
import type { Logger } from '../observability/logger.js';
import type { Directory, Member, ShardClaim } from '../membership/member.js';
import type { AtMostOnceTiming } from './atMostOnceTiming.js';
import type { PeerCaller, PeerMethods } from '../peers/peer.js';
import type { RandomSource } from '../runtime/random.js';
import type { ShardDeputyFactory } from './shardDeputy.js';
import type { ShardHomeFactory } from './shardHome.js';
import type { Store } from '../store/store.js';

/** What at-most-once execution at one daemon needs. */
export interface AtMostOnceOptions {
  /**
   * This daemon; its address and peer port are those it listens on already. A daemon that listens
   * where an earlier one did proves by it that the earlier one has ended.
   */
  self: Member;
  /** Service of the target beside this daemon. */
  service: string;
  /** Shards of the service's key space; must never change while keys are in use. */
  shards: number;
  store: Store;
  peers: PeerCaller;
  /** Where the control methods of `OneShotMethod` are registered, once. */
  methods: PeerMethods;
  directory: Directory;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Called with all claims whenever they change, to be announced as `Member.homes`. */
  onClaims: (claims: ShardClaim[]) => void;
  timing?: Partial<AtMostOnceTiming>;
  limits?: OutcomeTableLimits;
  createHome?: ShardHomeFactory;
  createDeputy?: ShardDeputyFactory;
}
