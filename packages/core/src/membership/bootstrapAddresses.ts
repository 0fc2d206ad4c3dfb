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

/** Number of bootstrap addresses stored per data centre. */
const ADDRESSES_PER_DATA_CENTRE = 3;

/**
 * Mean interval between checks of the addresses, in milliseconds; one daemon per data centre
 * checks.
 */
const CHECK_INTERVAL_MS = 60_000;

/** Mean delay before the first check, in milliseconds. */
const FIRST_CHECK_DELAY_MS = 5000;

/** Timeout of reading the addresses from the store, in milliseconds. */
const READ_TIMEOUT_MS = 2000;

function parseAddress(entry: StoreEntry): PeerAddress[] {
  try {
    const { address, port } = JSON.parse(entry.value) as Partial<PeerAddress>;
    return typeof address === 'string' && typeof port === 'number' ? [{ address, port }] : [];
  } catch {
    return [];
  }
}

/**
 * Reads the bootstrap addresses from the store and appends those of the settings; only these when
 * the store is down.
 */
export async function readBootstrapAddresses(
  store: Store | undefined,
  fromSettings: PeerAddress[],
  clock: Clock,
): Promise<PeerAddress[]> {
  if (!store) return fromSettings;
  const timeout = clock.sleep(READ_TIMEOUT_MS).then(() => undefined);
  const listed = await Promise.race([store.list(BOOTSTRAP_PREFIX), timeout]);
  const stored = listed?.isOk() ? listed.value.flatMap((entry) => parseAddress(entry)) : [];
  const known = new Set(stored.map(({ address, port }) => `${address}:${port}`));
  return [...stored, ...fromSettings.filter((one) => !known.has(`${one.address}:${one.port}`))];
}

/** Options of `createBootstrapManager`. */
export interface BootstrapManagerOptions {
  membership: Membership;
  store: Store;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
}

/** Replaces stored bootstrap addresses at which no live member is known. */
export interface BootstrapManager {
  start(): void;
  stop(): void;
}

function isSame(one: PeerAddress, other: PeerAddress): boolean {
  return one.address === other.address && one.port === other.port;
}

/** Creates the manager of the bootstrap addresses of this daemon's data centre. */
export function createBootstrapManager(options: BootstrapManagerOptions): BootstrapManager {
  const { membership, store, clock, random, logger } = options;
  const stopping = new AbortController();

  /** Members of this data centre by rendezvous rank; the first one maintains the addresses. */
  function rankCandidates(): Member[] {
    const { dataCentre } = membership.self();
    const candidates = membership
      .members()
      .filter((member) => member.dataCentre === dataCentre)
      .filter((member) => member.state !== 'gone' && member.state !== 'draining');
    return rendezvous(BOOTSTRAP_PREFIX, candidates, (member) => member.incarnation, 8);
  }

  async function replaceAddress(
    slot: number,
    entry: StoreEntry | undefined,
    address: PeerAddress,
  ): Promise<void> {
    const key = bootstrapKey(membership.self().dataCentre, slot);
    // A lost response needs no handling: the next check reads what the slot holds.
    const result = await store.swap(key, entry?.modRevision ?? 0, JSON.stringify(address));
    if (result.isOk() && result.value.swapped) logger.log('info', 'bootstrap address set', { key });
  }

  async function check(): Promise<void> {
    const candidates = rankCandidates();
    if (candidates[0]?.incarnation !== membership.self().incarnation) return;
    const { dataCentre } = membership.self();
    const listed = await store.list(`${BOOTSTRAP_PREFIX}${dataCentre}/`);
    if (!listed.isOk()) return;
    const live = membership
      .members()
      .filter((member) => member.state !== 'gone')
      .map(peerAddressOf);
    const entries = new Map(listed.value.map((entry) => [entry.key, entry]));
    const storedAddresses = listed.value.flatMap(parseAddress);
    const unusedAddresses = candidates
      .map(peerAddressOf)
      .filter((address) => !storedAddresses.some((one) => isSame(one, address)));
    for (let slot = 0; slot < ADDRESSES_PER_DATA_CENTRE; slot++) {
      const entry = entries.get(bootstrapKey(dataCentre, slot));
      const [current] = entry ? parseAddress(entry) : [];
      const isLive = current && live.some((address) => isSame(address, current));
      const replacement = isLive ? undefined : unusedAddresses.shift();
      if (replacement) await replaceAddress(slot, entry, replacement);
    }
  }

  async function run(): Promise<void> {
    await clock.sleep(FIRST_CHECK_DELAY_MS * (0.5 + random.next()), stopping.signal);
    while (!stopping.signal.aborted) {
      await check();
      await clock.sleep(CHECK_INTERVAL_MS * (0.5 + random.next()), stopping.signal);
    }
  }

  return {
    start: () => {
      run().catch((error: unknown) => {
        if (!stopping.signal.aborted) {
          logger.log('error', `bootstrap address check failed: ${(error as Error).message}`);
        }
      });
    },
    stop: () => stopping.abort(new Error('bootstrap manager stopped')),
  };
}
