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

/** Options of `createAtMostOnceExecutor`. */
export interface AtMostOnceOptions {
  /**
   * This daemon. It must already listen on its address and peer port: that proves that an earlier
   * incarnation with the same address and port has ended.
   */
  self: Member;
  /** Service of the target beside this daemon. */
  service: string;
  /** Number of shards of the service's key space; must not change while keys are in use. */
  shards: number;
  store: Store;
  peers: PeerCaller;
  /** Registry for the control methods of `AtMostOnceMethod`; each is registered once. */
  methods: PeerMethods;
  directory: Directory;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /**
   * Called with all claims of this daemon when they change; they are announced as `Member.homes`.
   */
  onClaims: (claims: ShardClaim[]) => void;
  timing?: Partial<AtMostOnceTiming>;
  limits?: OutcomeTableLimits;
  createHome?: ShardHomeFactory;
  createDeputy?: ShardDeputyFactory;
}
