import type { AntiEntropy } from './antiEntropy.js';
import type { MemberExchange } from './memberExchange.js';
import { isFinal } from './memberTable.js';
import type { MembershipContext } from './membershipContext.js';
import type { PeerAddress } from '../peers/peer.js';

/** Mean age at which the bootstrap addresses are read again, in milliseconds. */
const MAX_BOOTSTRAP_AGE_MS = 6 * 60 * 60 * 1000;

/** The same while this daemon knows no other member, in milliseconds. */
const MAX_ISOLATED_BOOTSTRAP_AGE_MS = 15_000;

/** Initial backoff between attempts to join, in milliseconds; it doubles with each attempt. */
const INITIAL_BACKOFF_MS = 500;

/** Maximum backoff between attempts to join, in milliseconds. */
const MAX_BACKOFF_MS = 15_000;

/** Joins the fleet on start and reconnects to it after a partition. */
export interface MemberJoin {
  /**
   * Tries the bootstrap addresses until one has returned its full table or another daemon joined
   * here.
   */
  join(): Promise<void>;
  /** Contacts a member that was declared gone, or a bootstrap address without a known member. */
  healPartition(): Promise<void>;
}

/** Creates the join protocol of one daemon. */
export function createMemberJoin(
  context: MembershipContext,
  exchange: MemberExchange,
  antiEntropy: AntiEntropy,
  readBootstrap: () => Promise<PeerAddress[]>,
): MemberJoin {
  const { clock, random, table } = context;
  let addresses: PeerAddress[] = [];
  let addressesReadAt = 0;
  let jitter = 1;

  function takeRandom<T>(list: T[]): T | undefined {
    return list.splice(Math.floor(random.next() * list.length), 1)[0];
  }

  function isOwnAddress({ address, port }: PeerAddress): boolean {
    const self = context.self();
    return address === self.address && port === self.peerPort;
  }

  async function readAddresses(): Promise<void> {
    addressesReadAt = clock.now();
    jitter = 0.5 + random.next();
    const read = await readBootstrap();
    if (read.length > 0) addresses = read.filter((address) => !isOwnAddress(address));
  }

  async function joinThrough(address: PeerAddress): Promise<boolean> {
    const { hasResponse, hasEqualTables } = await exchange.exchange(address, [
      { kind: 'alive', member: context.self() },
    ]);
    return hasResponse && (hasEqualTables || antiEntropy.pull(address));
  }

  async function joinThroughAny(): Promise<boolean> {
    await readAddresses();
    const remaining = [...addresses];
    if (remaining.length === 0) return true;
    while (remaining.length > 0 && !context.stopped.aborted) {
      const address = takeRandom(remaining);
      if (address && (await joinThrough(address))) return true;
    }
    return false;
  }

  /** A random bootstrap address at which no live member is known. */
  function pickUnknownAddress(): PeerAddress | undefined {
    const memberAddresses = new Set(table.liveMembers().map((member) => member.address));
    return takeRandom(addresses.filter(({ address }) => !memberAddresses.has(address)));
  }

  return {
    join: async () => {
      let backoffMs = INITIAL_BACKOFF_MS;
      while (!(await joinThroughAny())) {
        // Other daemons may have joined through this one in the meantime.
        if (table.size > 1) return;
        await clock.sleep(backoffMs * (0.5 + random.next()), context.stopped);
        backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
      }
    },
    healPartition: async () => {
      const maxAgeMs = table.size > 1 ? MAX_BOOTSTRAP_AGE_MS : MAX_ISOLATED_BOOTSTRAP_AGE_MS;
      if (clock.now() - addressesReadAt > maxAgeMs * jitter) await readAddresses();
      const goneMember = takeRandom(table.goneMembers().filter((gone) => !isFinal(gone)))?.member;
      const unknownAddress = pickUnknownAddress();
      if (unknownAddress && (!goneMember || random.next() < 0.5)) {
        await joinThrough(unknownAddress);
      } else if (goneMember) {
        const update = table.updateOf(goneMember.incarnation, clock.now());
        await exchange.exchangeWith(goneMember, update ? [update] : []);
      }
    },
  };
}
