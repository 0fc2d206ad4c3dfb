import type { Clock } from '../runtime/clock.js';
import type { Configuration } from './configuration.js';
import { decodeConfiguration } from './configurationValue.js';
import { rendezvous } from '../runtime/hash.js';
import type { Logger } from '../observability/logger.js';
import type { Membership } from '../membership/membership.js';
import type { RandomSource } from '../runtime/random.js';
import type { Store, StoreEntry, Watch } from '../store/store.js';
import { CONFIGURATION_KEY } from '../store/storeKeys.js';

/** Daemons of each data centre that watch the store. */
const WATCHERS_PER_DATA_CENTRE = 2;

/** Time between two looks at whether this daemon is one of them, in milliseconds. */
const ROLE_INTERVAL_MS = 1000;

/** Shortest time between two reads, which notice a watch that has gone silent, in milliseconds. */
const REREAD_MIN_MS = 3000;

/** Reads are made so seldom that they cost at most this much on average. */
const REREAD_BYTES_PER_SECOND = 4096;

/** Longest pause after reads that failed, in milliseconds. */
const BACKOFF_MAX_MS = 30_000;

/** What a watcher is made of. */
export interface ConfigurationWatcherOptions {
  membership: Membership;
  store: Store;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Aborted when the keeper stops. */
  stopped: AbortSignal;
  onConfiguration: (configuration: Configuration) => void;
}

/** Watches the store while this daemon is one of the few of its data centre that do. */
export interface ConfigurationWatcher {
  start(): void;
  /** Whether the last read was answered; undefined while this daemon does not watch. */
  reachable(): boolean | undefined;
  stop(): void;
}

/** Makes the watcher of one daemon. */
export function createConfigurationWatcher(
  options: ConfigurationWatcherOptions,
): ConfigurationWatcher {
  const { membership, store, clock, random, logger, stopped } = options;
  let watch: Watch | undefined;
  let reachable: boolean | undefined;
  let failures = 0;
  let valueBytes = 0;
  let readDueAt = 0;

  let chosenHere: boolean | undefined;

  // The choice is made again only when the fleet has changed.
  const stopListening = membership.onChange(() => {
    chosenHere = undefined;
  });

  /** Rendezvous over the data centre: everyone agrees, and the next takes over when one goes. */
  function isChosen(): boolean {
    const { dataCentre, incarnation } = membership.self();
    const candidates = membership
      .members()
      .filter((member) => member.dataCentre === dataCentre)
      .filter((member) => member.state !== 'gone' && member.state !== 'draining');
    const chosen = rendezvous(
      CONFIGURATION_KEY,
      candidates,
      (member) => member.incarnation,
      WATCHERS_PER_DATA_CENTRE,
    );
    return chosen.some((member) => member.incarnation === incarnation);
  }

  function isWatcher(): boolean {
    chosenHere ??= isChosen();
    return chosenHere;
  }

  function hear(entry: StoreEntry | undefined): void {
    if (!entry || entry.key !== CONFIGURATION_KEY || entry.modRevision === 0) return;
    valueBytes = entry.value.length;
    try {
      options.onConfiguration(decodeConfiguration(entry.value));
    } catch {
      logger.log('error', 'the store holds no readable configuration; apply it again');
    }
  }

  /** Jitter keeps the watchers of all data centres apart, above all when the store returns. */
  function pauseBeforeRead(): number {
    const spread = 0.5 + random.next();
    if (failures > 0) return Math.min(BACKOFF_MAX_MS, 500 * 2 ** failures) * spread;
    return Math.max(REREAD_MIN_MS, (valueBytes / REREAD_BYTES_PER_SECOND) * 1000) * spread;
  }

  async function read(): Promise<void> {
    const result = await store.get(CONFIGURATION_KEY);
    if (stopped.aborted) return;
    reachable = result.isOk();
    failures = result.isOk() ? 0 : failures + 1;
    if (result.isOk()) hear(result.value);
    readDueAt = clock.now() + pauseBeforeRead();
  }

  function closeWatch(): void {
    watch?.close();
    watch = undefined;
    reachable = undefined;
    failures = 0;
    readDueAt = 0;
  }

  async function run(): Promise<void> {
    while (!stopped.aborted) {
      if (isWatcher()) {
        watch ??= store.watch(CONFIGURATION_KEY, hear);
        if (clock.now() >= readDueAt) await read();
      } else if (watch) {
        closeWatch();
      }
      await clock.sleep(ROLE_INTERVAL_MS * (0.5 + random.next()), stopped);
    }
  }

  return {
    start: () => {
      run().catch((error: unknown) => {
        if (!stopped.aborted) logger.log('error', `watcher: ${(error as Error).message}`);
      });
    },
    reachable: () => reachable,
    stop: () => {
      stopListening();
      closeWatch();
    },
  };
}
