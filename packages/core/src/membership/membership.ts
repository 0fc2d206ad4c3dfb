import { setMaxListeners } from 'node:events';
import { createAntiEntropy } from './antiEntropy.js';
import type { Clock, Timer } from '../runtime/clock.js';
import { createFailureDetector } from './failureDetector.js';
import type { Logger } from '../observability/logger.js';
import type { Directory, Member } from './member.js';
import { createMemberExchange } from './memberExchange.js';
import type { ExchangeOutcome } from './memberExchange.js';
import { createMemberJoin } from './memberJoin.js';
import { FINAL_VERSION } from './memberUpdate.js';
import type { MemberUpdate } from './memberUpdate.js';
import { MemberRecords } from './memberRecords.js';
import type { MemberChange } from './memberRecords.js';
import { peerAddressOf } from './membershipContext.js';
import type { PiggybackedValue, MembershipContext } from './membershipContext.js';
import type { PeerAddress, PeerCaller, PeerMethods } from '../peers/peer.js';
import type { RandomSource } from '../runtime/random.js';

/** Mean interval between exchanges with a random member, in milliseconds. */
const EXCHANGE_INTERVAL_MS = 1000;

/** Mean interval between exchanges while updates are queued for gossip, in milliseconds. */
const GOSSIP_INTERVAL_MS = 200;

/** Number of random members that receive a change of this daemon's record immediately. */
const ANNOUNCEMENT_FANOUT = 4;

/**
 * Maximum number of connected daemons notified directly when this one leaves; gossip reaches the
 * rest.
 */
const MAX_CONNECTED_NOTIFIED = 64;

/** Maximum number of disputed gone updates that are resolved at the same time. */
const MAX_CONCURRENT_DISPUTES = 8;

/** Minimum interval between comparisons of whole tables, in milliseconds. */
const COMPARE_INTERVAL_MS = 5000;

/** Number of exchanges between two attempts to reach members that were declared gone. */
const EXCHANGES_PER_PARTITION_CHECK = 5;

/** Length of a pause after which a daemon drops its table, in milliseconds. */
const STALE_TABLE_PAUSE_MS = 60 * 60 * 1000;

/** Maximum wait for joining on start, in milliseconds. */
const JOIN_TIMEOUT_MS = 4000;

/** Options of `createMembership`. */
export interface MembershipOptions {
  self: Member;
  clock: Clock;
  random: RandomSource;
  peers: PeerCaller;
  methods: PeerMethods;
  /** Reads the addresses to join through; called on start and at long intervals. */
  bootstrap: () => Promise<PeerAddress[]>;
  logger: Logger;
  /** Daemons with connections to this one; notified directly when it drains or leaves. */
  connected?: () => PeerAddress[];
  /** Called when another incarnation has taken over the address of this daemon. */
  onDisplaced?: () => void;
}

/** View of the fleet at one daemon, and the record that this daemon publishes. */
export interface Membership extends Directory {
  /** Joins through the bootstrap addresses; resolves when joined, or after a bounded wait. */
  start(): Promise<void>;
  /** The record of this daemon. */
  self(): Member;
  /**
   * Changes the record of this daemon; resolves after it was sent to a few members, or if nothing
   * differs.
   */
  update(change: MemberChange): Promise<void>;
  /** Registers a value that is piggybacked on every exchange. */
  piggyback(value: PiggybackedValue): void;
  /** Up to `count` random live members other than this daemon. */
  randomMembers(count: number, accept?: (member: Member) => boolean): Member[];
  /** Announces that this incarnation is permanently gone, then stops. */
  leave(): Promise<void>;
  /** Stops all tasks without an announcement. */
  stop(): void;
}

/** Creates the membership of one daemon; an embedded caller is a member with an empty service. */
export function createMembership(options: MembershipOptions): Membership {
  const { clock, random, logger } = options;
  const stopping = new AbortController();
  // Every suspicion in progress adds a listener to the signal.
  setMaxListeners(0, stopping.signal);
  let gossipTimer: Timer | undefined;
  const disputed = new Set<string>();
  let comparedAt = -COMPARE_INTERVAL_MS;
  const records = new MemberRecords({
    self: options.self,
    clock,
    logger,
    onDisplaced: options.onDisplaced,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the records and the tasks that send them depend on each other
    onGossipQueued: () => scheduleGossip(),
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- likewise
    onGoneDisputed: (member, update) => resolveDispute(member, update),
  });
  const { table, queue } = records;

  function randomMembers(
    count: number,
    accept: (member: Member) => boolean = () => true,
  ): Member[] {
    const { incarnation } = records.self;
    return table.sample(
      random,
      count,
      (member) => member.incarnation !== incarnation && accept(member),
    );
  }

  const context: MembershipContext = {
    clock,
    random,
    peers: options.peers,
    methods: options.methods,
    logger,
    table,
    queue,
    stopped: stopping.signal,
    self: () => records.self,
    receive: (updates) => records.receive(updates, true),
    receiveWithoutGossip: (updates) => records.receive(updates, false),
    randomMembers,
  };
  const exchange = createMemberExchange(context);
  const detector = createFailureDetector(context, exchange);
  const antiEntropy = createAntiEntropy(context);
  const memberJoin = createMemberJoin(context, exchange, antiEntropy, options.bootstrap);

  /** Runs a task in the background and logs its failure, unless membership was stopped. */
  function runTask(task: () => Promise<void>): void {
    task().catch((error: unknown) => {
      if (!stopping.signal.aborted) logger.log('error', `membership: ${(error as Error).message}`);
    });
  }

  async function gossipOnce(): Promise<void> {
    const [member] = randomMembers(1);
    if (member) await exchange.exchangeWith(member);
  }

  function scheduleGossip(): void {
    if (gossipTimer || stopping.signal.aborted || table.size < 2) return;
    gossipTimer = clock.startTimer(GOSSIP_INTERVAL_MS * (0.5 + random.next()), () => {
      gossipTimer = undefined;
      if (queue.size === 0) return;
      runTask(gossipOnce);
      scheduleGossip();
    });
  }

  function connectedPeersToNotify(update: MemberUpdate): PeerAddress[] {
    const isLeaving = update.kind === 'gone' || update.member.state === 'draining';
    return isLeaving ? (options.connected?.() ?? []).slice(0, MAX_CONNECTED_NOTIFIED) : [];
  }

  /**
   * Sends an update to a few random members now, and to the connected peers when this daemon
   * leaves.
   */
  async function announce(update: MemberUpdate): Promise<void> {
    const addresses = [
      ...connectedPeersToNotify(update),
      ...randomMembers(ANNOUNCEMENT_FANOUT).map(peerAddressOf),
    ];
    if (queue.size > 0) scheduleGossip();
    await Promise.all(addresses.map((address) => exchange.exchange(address, [update])));
  }

  async function compareIfDue(member: Member, outcome: ExchangeOutcome): Promise<void> {
    const isDue = clock.now() - comparedAt >= COMPARE_INTERVAL_MS;
    if (outcome.hasEqualTables || !isDue || queue.size > 0) return;
    comparedAt = clock.now();
    await antiEntropy.compare(peerAddressOf(member));
  }

  async function exchangeWithRandom(): Promise<void> {
    const [member] = randomMembers(1);
    if (!member) return;
    const outcome = await exchange.exchangeWith(member);
    if (outcome.hasResponse) await compareIfDue(member, outcome);
    else await detector.suspect(member);
  }

  /** Sends a member the update that declares it gone; a live member overrules it. */
  async function notifyDisputedMember(member: Member, update: MemberUpdate): Promise<void> {
    const { hasResponse } = await exchange.exchangeWith(member, [update]);
    if (!hasResponse) await detector.suspect(member);
  }

  function resolveDispute(member: Member, update: MemberUpdate): void {
    if (disputed.size >= MAX_CONCURRENT_DISPUTES || disputed.has(member.incarnation)) return;
    disputed.add(member.incarnation);
    runTask(() =>
      notifyDisputedMember(member, update).finally(() => disputed.delete(member.incarnation)),
    );
  }

  /**
   * Rejoins after a long pause: the table may hold records whose tombstones others have dropped.
   */
  async function rejoinIfStale(pausedMs: number): Promise<void> {
    if (pausedMs < STALE_TABLE_PAUSE_MS) return;
    logger.log('warn', 'paused for too long, dropping the member table and joining again', {
      pausedMs,
    });
    records.removeOthers();
    await memberJoin.join();
  }

  async function exchangeLoop(): Promise<void> {
    let exchangeCount = 0;
    while (!stopping.signal.aborted) {
      const monotonicBefore = clock.now();
      const wallClockBefore = clock.date().getTime();
      await clock.sleep(EXCHANGE_INTERVAL_MS * (0.75 + random.next() / 2), stopping.signal);
      await rejoinIfStale(
        Math.max(clock.now() - monotonicBefore, clock.date().getTime() - wallClockBefore),
      );
      table.dropExpiredTombstones(clock.now());
      runTask(exchangeWithRandom);
      exchangeCount += 1;
      if (exchangeCount % EXCHANGES_PER_PARTITION_CHECK === 0) runTask(memberJoin.healPartition);
    }
  }

  function goneRecords(): Member[] {
    return table.goneMembers().flatMap((gone) => (gone.member ? [gone.member] : []));
  }

  function stop(): void {
    stopping.abort(new Error('membership stopped'));
    gossipTimer?.cancel();
  }

  return {
    start: async () => {
      const joined = memberJoin.join();
      runTask(async () => {
        await joined;
        await exchangeLoop();
      });
      const wait = clock.sleep(JOIN_TIMEOUT_MS, stopping.signal);
      await Promise.race([joined, wait]).catch(() => undefined);
      wait.catch(() => undefined);
      if (!stopping.signal.aborted) await announce({ kind: 'alive', member: records.self });
    },
    self: () => records.self,
    update: async (change) => {
      if (!records.change(change)) return;
      await announce({ kind: 'alive', member: records.self });
    },
    piggyback: (value) => exchange.piggyback(value),
    randomMembers,
    leave: async () => {
      const { incarnation } = records.self;
      records.markEnded();
      await announce({ kind: 'gone', incarnation, version: FINAL_VERSION, ageMs: 0 });
      stop();
    },
    stop,
    targetsOf: (service) => table.targetsOf(service),
    members: () => [...table.liveMembers(), ...goneRecords()],
    memberOf: (incarnation) => table.liveOf(incarnation) ?? table.tombstoneOf(incarnation)?.member,
    onChange: (listener) => records.onChange(listener),
  };
}
