import type { Member } from './member.js';
import type { MemberExchange } from './memberExchange.js';
import { EXCHANGE_TIMEOUT_MS } from './memberExchange.js';
import { MembershipMethod, peerAddressOf } from './membershipContext.js';
import type { MembershipContext } from './membershipContext.js';
import type { PeerAddress } from '../peers/peer.js';

/** Tries before others are asked. A try that times out takes its connection with it. */
const DIRECT_TRIES = 3;

/** Members that are asked to probe in place of this daemon. */
const HELPER_COUNT = 3;

/** How long a helper may take, in milliseconds; it probes once itself. */
const HELPER_TIMEOUT_MS = 2 * EXCHANGE_TIMEOUT_MS;

/** Time between the suspicion and the second look, in milliseconds. */
const SUSPICION_MS = 2000;

/** The same when no helper could be reached: it may be this daemon that is cut off. */
const ISOLATED_SUSPICION_MS = 15_000;

/** A wait that ends later than this was one in which this daemon itself stood still. */
const LATE_MS = 1000;

/** Most members that are under suspicion at once. */
const MAX_SUSPECTS = 16;

interface PingAnswer {
  incarnation: string;
}

interface ProbeAnswer {
  /** Incarnation that answered the helper; undefined when none did. */
  incarnation?: string;
}

type ProbeVerdict = 'reached' | 'notReached' | 'noHelper';

/** Finds members that have died. Silence of one connection is not taken for death. */
export interface FailureDetector {
  /** Looks further after a member that did not answer once. */
  suspect(member: Member): Promise<void>;
}

/** Makes the detector and registers its methods. */
export function createFailureDetector(
  context: MembershipContext,
  exchange: MemberExchange,
): FailureDetector {
  const { clock, peers, methods, table, logger } = context;
  const suspects = new Set<string>();

  methods.register(MembershipMethod.ping, async (): Promise<PingAnswer> => ({
    incarnation: context.self().incarnation,
  }));

  methods.register(MembershipMethod.probe, async (params): Promise<ProbeAnswer> => {
    const target = params as PeerAddress;
    const ping = await peers.call<PingAnswer>(
      target,
      MembershipMethod.ping,
      {},
      EXCHANGE_TIMEOUT_MS,
    );
    return ping.isOk() ? { incarnation: ping.value.incarnation } : {};
  });

  async function reachDirectly(member: Member, tries: number): Promise<boolean> {
    for (let attempt = 0; attempt < tries; attempt++) {
      if (context.stopped.aborted) return true;
      const { answered } = await exchange.exchangeWith(member);
      if (answered) return true;
    }
    return false;
  }

  async function reachThroughOthers(member: Member): Promise<ProbeVerdict> {
    const helpers = context.others(
      HELPER_COUNT,
      (other) => other.incarnation !== member.incarnation,
    );
    const answers = await Promise.all(
      helpers.map((helper) =>
        peers.call<ProbeAnswer>(
          peerAddressOf(helper),
          MembershipMethod.probe,
          peerAddressOf(member),
          HELPER_TIMEOUT_MS,
        ),
      ),
    );
    const heard = answers.filter((answer) => answer.isOk());
    if (heard.some((answer) => answer.value.incarnation === member.incarnation)) return 'reached';
    return heard.length > 0 ? 'notReached' : 'noHelper';
  }

  async function look(member: Member, tries: number): Promise<ProbeVerdict> {
    const startedAt = clock.now();
    if (await reachDirectly(member, tries)) return 'reached';
    const verdict = await reachThroughOthers(member);
    const longest = tries * EXCHANGE_TIMEOUT_MS + HELPER_TIMEOUT_MS + LATE_MS;
    return clock.now() - startedAt > longest ? 'reached' : verdict;
  }

  async function lookTwice(member: Member): Promise<ProbeVerdict> {
    const first = await look(member, DIRECT_TRIES - 1);
    if (first === 'reached') return first;
    const pause = first === 'noHelper' ? ISOLATED_SUSPICION_MS : SUSPICION_MS;
    const suspectedAt = clock.now();
    await clock.sleep(pause, context.stopped);
    if (clock.now() - suspectedAt > pause + LATE_MS) return 'reached';
    return look(member, 1);
  }

  function declareGone({ incarnation, version, host }: Member): void {
    if (table.liveOf(incarnation)?.version !== version) return;
    logger.log('warn', 'member does not answer, taken for gone', { incarnation, host });
    context.receive([{ kind: 'gone', incarnation, version, ageMs: 0 }]);
  }

  return {
    suspect: async (member) => {
      const { incarnation } = member;
      if (suspects.has(incarnation) || suspects.size >= MAX_SUSPECTS) return;
      suspects.add(incarnation);
      try {
        const verdict = await lookTwice(member);
        if (verdict !== 'reached' && !context.stopped.aborted) declareGone(member);
      } finally {
        suspects.delete(incarnation);
      }
    },
  };
}
