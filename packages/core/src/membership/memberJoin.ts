import type { AntiEntropy } from './antiEntropy.js';
import type { MemberExchange } from './memberExchange.js';
import { isFinal } from './memberTable.js';
import type { MembershipContext } from './membershipContext.js';
import type { PeerAddress } from '../peers/peer.js';

/** Age at which the bootstrap addresses are read again, in milliseconds. */
const BOOTSTRAP_AGE_MS = 6 * 60 * 60 * 1000;

/** The same while this daemon knows no other, in milliseconds. */
const LONELY_AGE_MS = 15_000;

/** First pause between two tries to join, in milliseconds; it doubles. */
const FIRST_BACKOFF_MS = 500;

/** Longest pause between two tries to join, in milliseconds. */
const LONGEST_BACKOFF_MS = 15_000;

/** Finds the rest of the fleet, on start and after a partition. */
export interface MemberJoin {
  /** Tries the bootstrap addresses until one has given its whole table. */
  join(): Promise<void>;
  /** Looks whether a member that was taken for gone, or a bootstrap address, answers again. */
  reunite(): Promise<void>;
}

/** Makes the way into the fleet. */
export function createMemberJoin(
  context: MembershipContext,
  exchange: MemberExchange,
  antiEntropy: AntiEntropy,
  bootstrap: () => Promise<PeerAddress[]>,
): MemberJoin {
  const { clock, random, table } = context;
  let addresses: PeerAddress[] = [];
  let readAt = 0;
  let jitter = 1;

  function takeRandom<T>(list: T[]): T | undefined {
    return list.splice(Math.floor(random.next() * list.length), 1)[0];
  }

  function isOwn({ address, port }: PeerAddress): boolean {
    const self = context.self();
    return address === self.address && port === self.peerPort;
  }

  async function readAddresses(): Promise<void> {
    readAt = clock.now();
    jitter = 0.5 + random.next();
    const read = await bootstrap();
    if (read.length > 0) addresses = read.filter((address) => !isOwn(address));
  }

  async function joinThrough(address: PeerAddress): Promise<boolean> {
    const { answered, equal } = await exchange.exchange(address, [
      { kind: 'alive', member: context.self() },
    ]);
    return answered && (equal || antiEntropy.pull(address));
  }

  async function joinThroughAny(): Promise<boolean> {
    await readAddresses();
    const left = [...addresses];
    if (left.length === 0) return true;
    while (left.length > 0 && !context.stopped.aborted) {
      const address = takeRandom(left);
      if (address && (await joinThrough(address))) return true;
    }
    return false;
  }

  /** A bootstrap address at which no live member is known. */
  function strangeAddress(): PeerAddress | undefined {
    const known = new Set(table.liveMembers().map((member) => member.address));
    return takeRandom(addresses.filter(({ address }) => !known.has(address)));
  }

  return {
    join: async () => {
      let pause = FIRST_BACKOFF_MS;
      while (!(await joinThroughAny())) {
        // Others may have joined through this daemon meanwhile.
        if (table.size > 1) return;
        await clock.sleep(pause * (0.5 + random.next()), context.stopped);
        pause = Math.min(2 * pause, LONGEST_BACKOFF_MS);
      }
    },
    reunite: async () => {
      const oldest = table.size > 1 ? BOOTSTRAP_AGE_MS : LONELY_AGE_MS;
      if (clock.now() - readAt > oldest * jitter) await readAddresses();
      const lapsed = takeRandom(table.goneMembers().filter((gone) => !isFinal(gone)))?.member;
      const strange = strangeAddress();
      if (strange && (!lapsed || random.next() < 0.5)) {
        await joinThrough(strange);
      } else if (lapsed) {
        const update = table.updateOf(lapsed.incarnation, clock.now());
        await exchange.exchangeWith(lapsed, update ? [update] : []);
      }
    },
  };
}
