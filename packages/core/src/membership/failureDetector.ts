import type { Member } from './member.js';
import type { MemberExchange } from './memberExchange.js';
import { EXCHANGE_TIMEOUT_MS } from './memberExchange.js';
import { MembershipMethod, peerAddressOf } from './membershipContext.js';
import type { MembershipContext } from './membershipContext.js';
import type { PeerAddress } from '../peers/peer.js';

/**
 * Direct attempts before helpers are asked, including the exchange that raised the suspicion.
 * An attempt that times out closes its connection.
 */
const DIRECT_ATTEMPTS = 3;

/** Number of members that are asked to probe on behalf of this daemon. */
const INDIRECT_PROBE_COUNT = 3;

/** Timeout of an indirect probe, in milliseconds: the helper makes one probe of its own. */
const INDIRECT_PROBE_TIMEOUT_MS = 2 * EXCHANGE_TIMEOUT_MS;

/** Delay between the failed probe and the recheck, in milliseconds. */
const RECHECK_DELAY_MS = 2000;

/**
 * Recheck delay when no helper responded, in milliseconds: this daemon itself may be partitioned.
 */
const ISOLATED_RECHECK_DELAY_MS = 15_000;

/**
 * Delay beyond the expected end of a wait after which this daemon itself counts as paused, in
 * milliseconds. The member then counts as reached.
 */
const PAUSE_TOLERANCE_MS = 1000;

/** Maximum number of members under suspicion at the same time. */
const MAX_SUSPECTS = 16;

interface PingResponse {
  incarnation: string;
}

interface ProbeResponse {
  /** Incarnation that responded to the helper; undefined if none did. */
  incarnation?: string;
}

type ProbeResult = 'reached' | 'notReached' | 'noHelper';

/** Detects failed members; the failure of a single connection does not declare a member gone. */
export interface FailureDetector {
  /** Probes a member that did not respond once and declares it gone if no probe reaches it. */
  suspect(member: Member): Promise<void>;
}

/** Creates the failure detector and registers its methods. */
export function createFailureDetector(
  context: MembershipContext,
  exchange: MemberExchange,
): FailureDetector {
  const { clock, peers, methods, table, logger } = context;
  const suspects = new Set<string>();

  methods.register(MembershipMethod.ping, async (): Promise<PingResponse> => ({
    incarnation: context.self().incarnation,
  }));

  methods.register(MembershipMethod.probe, async (params): Promise<ProbeResponse> => {
    const target = params as PeerAddress;
    const ping = await peers.call<PingResponse>(
      target,
      MembershipMethod.ping,
      {},
      EXCHANGE_TIMEOUT_MS,
    );
    return ping.isOk() ? { incarnation: ping.value.incarnation } : {};
  });

  async function probeDirectly(member: Member, attempts: number): Promise<boolean> {
    for (let attempt = 0; attempt < attempts; attempt++) {
      if (context.stopped.aborted) return true;
      const { hasResponse } = await exchange.exchangeWith(member);
      if (hasResponse) return true;
    }
    return false;
  }

  async function probeIndirectly(member: Member): Promise<ProbeResult> {
    const helpers = context.randomMembers(
      INDIRECT_PROBE_COUNT,
      (other) => other.incarnation !== member.incarnation,
    );
    const results = await Promise.all(
      helpers.map((helper) =>
        peers.call<ProbeResponse>(
          peerAddressOf(helper),
          MembershipMethod.probe,
          peerAddressOf(member),
          INDIRECT_PROBE_TIMEOUT_MS,
        ),
      ),
    );
    const replies = results.filter((result) => result.isOk());
    if (replies.some((reply) => reply.value.incarnation === member.incarnation)) return 'reached';
    return replies.length > 0 ? 'notReached' : 'noHelper';
  }

  async function probeOnce(member: Member, directAttempts: number): Promise<ProbeResult> {
    const startedAt = clock.now();
    if (await probeDirectly(member, directAttempts)) return 'reached';
    const result = await probeIndirectly(member);
    const maxDurationMs =
      directAttempts * EXCHANGE_TIMEOUT_MS + INDIRECT_PROBE_TIMEOUT_MS + PAUSE_TOLERANCE_MS;
    return clock.now() - startedAt > maxDurationMs ? 'reached' : result;
  }

  async function probeTwice(member: Member): Promise<ProbeResult> {
    const first = await probeOnce(member, DIRECT_ATTEMPTS - 1);
    if (first === 'reached') return first;
    const delayMs = first === 'noHelper' ? ISOLATED_RECHECK_DELAY_MS : RECHECK_DELAY_MS;
    const suspectedAt = clock.now();
    await clock.sleep(delayMs, context.stopped);
    if (clock.now() - suspectedAt > delayMs + PAUSE_TOLERANCE_MS) return 'reached';
    return probeOnce(member, 1);
  }

  function declareGone({ incarnation, version, host }: Member): void {
    if (table.liveOf(incarnation)?.version !== version) return;
    logger.log('warn', 'member unresponsive, declared gone', { incarnation, host });
    context.receive([{ kind: 'gone', incarnation, version, ageMs: 0 }]);
  }

  return {
    suspect: async (member) => {
      const { incarnation } = member;
      if (suspects.has(incarnation) || suspects.size >= MAX_SUSPECTS) return;
      suspects.add(incarnation);
      try {
        const result = await probeTwice(member);
        if (result !== 'reached' && !context.stopped.aborted) declareGone(member);
      } finally {
        suspects.delete(incarnation);
      }
    },
  };
}
