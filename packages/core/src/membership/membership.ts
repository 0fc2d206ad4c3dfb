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

/** Time between two exchanges with a random member, in milliseconds. */
const EXCHANGE_INTERVAL_MS = 1000;

/** Time between two messages while there is news to pass on, in milliseconds. */
const SPREAD_INTERVAL_MS = 200;

/** Members that are told at once of a change of this daemon's own record. */
const ANNOUNCE_COUNT = 4;

/** Most daemons that are told first that this one leaves; the rest hear it from them. */
const MAX_TOLD_FIRST = 64;

/** Most members that are asked at once whether they are gone, as others say. */
const MAX_DOUBTED = 8;

/** Least time between two comparisons of whole tables, in milliseconds. */
const COMPARE_INTERVAL_MS = 5000;

/** Exchanges between two looks for members that were taken for gone and may be back. */
const EXCHANGES_PER_REUNION = 5;

/** Time after which a daemon that stood still no longer trusts its table, in milliseconds. */
const STALE_TABLE_MS = 60 * 60 * 1000;

/** Longest wait for a first answer on start, in milliseconds. */
const JOIN_WAIT_MS = 4000;

/** What membership is made of. */
export interface MembershipOptions {
  self: Member;
  clock: Clock;
  random: RandomSource;
  peers: PeerCaller;
  methods: PeerMethods;
  /** Addresses to join through; asked on start and seldom after. */
  bootstrap: () => Promise<PeerAddress[]>;
  logger: Logger;
  /** Daemons that hold connections to this one; told first when it drains or leaves. */
  connected?: () => PeerAddress[];
  /** Called when another incarnation has taken this daemon's place. */
  onDisplaced?: () => void;
}

/** The fleet as one daemon sees it, and the record by which the fleet sees this daemon. */
export interface Membership extends Directory {
  /** Joins through the bootstrap addresses; resolves when joined, or after a bounded wait. */
  start(): Promise<void>;
  /** The record of this daemon. */
  self(): Member;
  /** Changes the record of this daemon; resolves when a few others were told, or nothing differs. */
  update(change: MemberChange): Promise<void>;
  /** Adds a value that rides on every exchange. */
  carry(carried: PiggybackedValue): void;
  /** Up to `count` other live members at random. */
  others(count: number, accept?: (member: Member) => boolean): Member[];
  /** Says that this incarnation is gone for good, then stops. */
  leave(): Promise<void>;
  /** Ends all tasks without telling anyone. */
  stop(): void;
}

/** Makes the membership of one daemon; an embedded caller is a member with an empty service. */
export function createMembership(options: MembershipOptions): Membership {
  const { clock, random, logger } = options;
  const stopping = new AbortController();
  // Every suspicion that is being looked into waits on it.
  setMaxListeners(0, stopping.signal);
  let spreadTimer: Timer | undefined;
  const doubted = new Set<string>();
  let comparedAt = -COMPARE_INTERVAL_MS;
  const records = new MemberRecords({
    self: options.self,
    clock,
    logger,
    onDisplaced: options.onDisplaced,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the records and the tasks that spread them need each other
    onRumour: () => spreadSoon(),
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- likewise
    onDoubt: (member, update) => settleDoubt(member, update),
  });
  const { table, queue } = records;

  function others(count: number, accept: (member: Member) => boolean = () => true): Member[] {
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
    fill: (updates) => records.receive(updates, false),
    others,
  };
  const exchange = createMemberExchange(context);
  const detector = createFailureDetector(context, exchange);
  const antiEntropy = createAntiEntropy(context);
  const entrance = createMemberJoin(context, exchange, antiEntropy, options.bootstrap);

  /** Runs a task whose only expected failure is that membership stops. */
  function runTask(task: () => Promise<void>): void {
    task().catch((error: unknown) => {
      if (!stopping.signal.aborted) logger.log('error', `membership: ${(error as Error).message}`);
    });
  }

  async function spreadOnce(): Promise<void> {
    const [member] = others(1);
    if (member) await exchange.exchangeWith(member);
  }

  function spreadSoon(): void {
    if (spreadTimer || stopping.signal.aborted || table.size < 2) return;
    spreadTimer = clock.startTimer(SPREAD_INTERVAL_MS * (0.5 + random.next()), () => {
      spreadTimer = undefined;
      if (queue.size === 0) return;
      runTask(spreadOnce);
      spreadSoon();
    });
  }

  function connectedWhenLeaving(update: MemberUpdate): PeerAddress[] {
    const leaves = update.kind === 'gone' || update.member.state === 'draining';
    return leaves ? (options.connected?.() ?? []).slice(0, MAX_TOLD_FIRST) : [];
  }

  /** Tells a few others without waiting for the next round, and those connected that it leaves. */
  async function tellAtOnce(update: MemberUpdate): Promise<void> {
    const addresses = [
      ...connectedWhenLeaving(update),
      ...others(ANNOUNCE_COUNT).map(peerAddressOf),
    ];
    if (queue.size > 0) spreadSoon();
    await Promise.all(addresses.map((address) => exchange.exchange(address, [update])));
  }

  async function compareIfDue(member: Member, outcome: ExchangeOutcome): Promise<void> {
    const due = clock.now() - comparedAt >= COMPARE_INTERVAL_MS;
    if (outcome.equal || !due || queue.size > 0) return;
    comparedAt = clock.now();
    await antiEntropy.compare(peerAddressOf(member));
  }

  async function exchangeWithRandom(): Promise<void> {
    const [member] = others(1);
    if (!member) return;
    const outcome = await exchange.exchangeWith(member);
    if (outcome.answered) await compareIfDue(member, outcome);
    else await detector.suspect(member);
  }

  /** Tells a member that it is taken for gone, which it overrules if it lives. */
  async function confront(member: Member, update: MemberUpdate): Promise<void> {
    const { answered } = await exchange.exchangeWith(member, [update]);
    if (!answered) await detector.suspect(member);
  }

  function settleDoubt(member: Member, update: MemberUpdate): void {
    if (doubted.size >= MAX_DOUBTED || doubted.has(member.incarnation)) return;
    doubted.add(member.incarnation);
    runTask(() => confront(member, update).finally(() => doubted.delete(member.incarnation)));
  }

  /** A daemon that stood still for long may hold records whose tombstones others have dropped. */
  async function dropStaleTable(pausedMs: number): Promise<void> {
    if (pausedMs < STALE_TABLE_MS) return;
    logger.log('warn', 'stood still for long, joining afresh', { pausedMs });
    records.forgetOthers();
    await entrance.join();
  }

  async function exchangeLoop(): Promise<void> {
    let round = 0;
    while (!stopping.signal.aborted) {
      const monotonic = clock.now();
      const calendar = clock.date().getTime();
      await clock.sleep(EXCHANGE_INTERVAL_MS * (0.75 + random.next() / 2), stopping.signal);
      await dropStaleTable(Math.max(clock.now() - monotonic, clock.date().getTime() - calendar));
      table.dropOldTombstones(clock.now());
      runTask(exchangeWithRandom);
      round += 1;
      if (round % EXCHANGES_PER_REUNION === 0) runTask(entrance.reunite);
    }
  }

  function goneRecords(): Member[] {
    return table.goneMembers().flatMap((gone) => (gone.member ? [gone.member] : []));
  }

  function stop(): void {
    stopping.abort(new Error('membership has stopped'));
    spreadTimer?.cancel();
  }

  return {
    start: async () => {
      const joined = entrance.join();
      runTask(async () => {
        await joined;
        await exchangeLoop();
      });
      const wait = clock.sleep(JOIN_WAIT_MS, stopping.signal);
      await Promise.race([joined, wait]).catch(() => undefined);
      wait.catch(() => undefined);
      if (!stopping.signal.aborted) await tellAtOnce({ kind: 'alive', member: records.self });
    },
    self: () => records.self,
    update: async (change) => {
      if (!records.change(change)) return;
      await tellAtOnce({ kind: 'alive', member: records.self });
    },
    carry: (carried) => exchange.carry(carried),
    others,
    leave: async () => {
      const { incarnation } = records.self;
      records.end();
      await tellAtOnce({ kind: 'gone', incarnation, version: FINAL_VERSION, ageMs: 0 });
      stop();
    },
    stop,
    targetsOf: (service) => table.targetsOf(service),
    members: () => [...table.liveMembers(), ...goneRecords()],
    memberOf: (incarnation) => table.liveOf(incarnation) ?? table.tombstoneOf(incarnation)?.member,
    onChange: (listener) => records.onChange(listener),
  };
}
