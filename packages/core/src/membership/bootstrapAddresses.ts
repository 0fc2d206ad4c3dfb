import type { Clock } from '../runtime/clock.js';
import { rendezvous } from '../runtime/hash.js';
import type { Logger } from '../observability/logger.js';
import type { Member } from './member.js';
import type { Membership } from './membership.js';
import { peerAddressOf } from './membershipContext.js';
import type { PeerAddress } from '../peers/peer.js';
import type { RandomSource } from '../runtime/random.js';
import type { Store, StoreEntry } from '../store/store.js';
import { BOOTSTRAP_PREFIX, bootstrapKey } from '../store/storeKeys.js';

/** Bootstrap addresses of each data centre. */
const ADDRESSES_PER_DATA_CENTRE = 3;

/** Time between two looks at the addresses, in milliseconds. Only one daemon of a data centre looks. */
const CHECK_INTERVAL_MS = 60_000;

/** Time before the first look, in milliseconds. */
const FIRST_CHECK_MS = 5000;

/** Longest wait for the store on start, in milliseconds. */
const READ_WAIT_MS = 2000;

function parseAddress(entry: StoreEntry): PeerAddress[] {
  try {
    const { address, port } = JSON.parse(entry.value) as Partial<PeerAddress>;
    return typeof address === 'string' && typeof port === 'number' ? [{ address, port }] : [];
  } catch {
    return [];
  }
}

/** Reads the bootstrap addresses; those of the settings are used besides, and when the store is down. */
export async function readBootstrapAddresses(
  store: Store | undefined,
  fromSettings: PeerAddress[],
  clock: Clock,
): Promise<PeerAddress[]> {
  if (!store) return fromSettings;
  const wait = clock.sleep(READ_WAIT_MS).then(() => undefined);
  const listed = await Promise.race([store.list(BOOTSTRAP_PREFIX), wait]);
  const stored = listed?.isOk() ? listed.value.flatMap((entry) => parseAddress(entry)) : [];
  const known = new Set(stored.map(({ address, port }) => `${address}:${port}`));
  return [...stored, ...fromSettings.filter((one) => !known.has(`${one.address}:${one.port}`))];
}

/** What keeps the bootstrap addresses in the store. */
export interface BootstrapManagerOptions {
  membership: Membership;
  store: Store;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
}

/** Replaces bootstrap addresses that are gone. */
export interface BootstrapManager {
  start(): void;
  stop(): void;
}

function isSame(one: PeerAddress, other: PeerAddress): boolean {
  return one.address === other.address && one.port === other.port;
}

/** Makes the keeper of the bootstrap addresses of the own data centre. */
export function createBootstrapManager(options: BootstrapManagerOptions): BootstrapManager {
  const { membership, store, clock, random, logger } = options;
  const stopping = new AbortController();

  /** Members of the own data centre, the one in charge first. */
  function ranked(): Member[] {
    const { dataCentre } = membership.self();
    const candidates = membership
      .members()
      .filter((member) => member.dataCentre === dataCentre)
      .filter((member) => member.state !== 'gone' && member.state !== 'draining');
    return rendezvous(BOOTSTRAP_PREFIX, candidates, (member) => member.incarnation, 8);
  }

  async function replace(
    slot: number,
    entry: StoreEntry | undefined,
    address: PeerAddress,
  ): Promise<void> {
    const key = bootstrapKey(membership.self().dataCentre, slot);
    // A lost answer is settled by the next look: the slot holds a live address or it does not.
    const result = await store.swap(key, entry?.modRevision ?? 0, JSON.stringify(address));
    if (result.isOk() && result.value.swapped) logger.log('info', 'bootstrap address', { key });
  }

  async function check(): Promise<void> {
    const candidates = ranked();
    if (candidates[0]?.incarnation !== membership.self().incarnation) return;
    const { dataCentre } = membership.self();
    const listed = await store.list(`${BOOTSTRAP_PREFIX}${dataCentre}/`);
    if (!listed.isOk()) return;
    const live = membership
      .members()
      .filter((member) => member.state !== 'gone')
      .map(peerAddressOf);
    const entries = new Map(listed.value.map((entry) => [entry.key, entry]));
    const kept = listed.value.flatMap(parseAddress);
    const spare = candidates
      .map(peerAddressOf)
      .filter((address) => !kept.some((one) => isSame(one, address)));
    for (let slot = 0; slot < ADDRESSES_PER_DATA_CENTRE; slot++) {
      const entry = entries.get(bootstrapKey(dataCentre, slot));
      const [held] = entry ? parseAddress(entry) : [];
      const isLive = held && live.some((address) => isSame(address, held));
      const next = isLive ? undefined : spare.shift();
      if (next) await replace(slot, entry, next);
    }
  }

  async function run(): Promise<void> {
    await clock.sleep(FIRST_CHECK_MS * (0.5 + random.next()), stopping.signal);
    while (!stopping.signal.aborted) {
      await check();
      await clock.sleep(CHECK_INTERVAL_MS * (0.5 + random.next()), stopping.signal);
    }
  }

  return {
    start: () => {
      run().catch((error: unknown) => {
        if (!stopping.signal.aborted) {
          logger.log('error', `bootstrap addresses: ${(error as Error).message}`);
        }
      });
    },
    stop: () => stopping.abort(new Error('the bootstrap keeper has stopped')),
  };
}
