import type { Clock } from '../runtime/clock.js';
import type { Configuration } from './configuration.js';
import { decodeConfiguration } from './configurationValue.js';
import { rendezvous } from '../runtime/hash.js';
import type { Logger } from '../observability/logger.js';
import type { Membership } from '../membership/membership.js';
import type { RandomSource } from '../runtime/random.js';
import type { Store, StoreEntry, Watch } from '../store/store.js';
import { CONFIGURATION_KEY } from '../store/storeKeys.js';

/** Daemons in each data centre that watch the store. */
const WATCHERS_PER_DATA_CENTRE = 2;

/** Mean interval at which a daemon checks whether it is selected to watch, in milliseconds. */
const SELECTION_INTERVAL_MS = 1000;

/** Shortest mean interval of reads, in milliseconds. Reads detect a stalled watch. */
const MIN_READ_INTERVAL_MS = 3000;

/** Highest average read volume, in bytes per second; larger values are read less often. */
const MAX_READ_BYTES_PER_SECOND = 4096;

/** Longest mean delay after failed reads, in milliseconds. */
const MAX_BACKOFF_MS = 30_000;

/** Options of `createConfigurationWatcher`. */
export interface ConfigurationWatcherOptions {
  membership: Membership;
  store: Store;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Aborted when the configuration manager stops. */
  stopped: AbortSignal;
  onConfiguration: (configuration: Configuration) => void;
}

/** Watches the configuration in the store while this daemon is selected in its data centre. */
export interface ConfigurationWatcher {
  start(): void;
  /** Whether the last read succeeded; undefined while this daemon does not watch. */
  isStoreReachable(): boolean | undefined;
  stop(): void;
}

/** Creates the configuration watcher of one daemon. */
export function createConfigurationWatcher(
  options: ConfigurationWatcherOptions,
): ConfigurationWatcher {
  const { membership, store, clock, random, logger, stopped } = options;
  let watch: Watch | undefined;
  let isReachable: boolean | undefined;
  let failures = 0;
  let valueBytes = 0;
  let nextReadAt = 0;

  let isSelected: boolean | undefined;

  // The selection is computed again only after a change of the members.
  const stopListening = membership.onChange(() => {
    isSelected = undefined;
  });

  /** Rendezvous hashing over the data centre: all members agree, and another replaces a lost one. */
  function computeSelection(): boolean {
    const { dataCentre, incarnation } = membership.self();
    const candidates = membership
      .members()
      .filter((member) => member.dataCentre === dataCentre)
      .filter((member) => member.state !== 'gone' && member.state !== 'draining');
    const selected = rendezvous(
      CONFIGURATION_KEY,
      candidates,
      (member) => member.incarnation,
      WATCHERS_PER_DATA_CENTRE,
    );
    return selected.some((member) => member.incarnation === incarnation);
  }

  function isWatcher(): boolean {
    isSelected ??= computeSelection();
    return isSelected;
  }

  function handleEntry(entry: StoreEntry | undefined): void {
    if (!entry || entry.key !== CONFIGURATION_KEY || entry.modRevision === 0) return;
    valueBytes = entry.value.length;
    try {
      options.onConfiguration(decodeConfiguration(entry.value));
    } catch {
      logger.log('error', 'invalid configuration in the store; apply it again');
    }
  }

  /**
   * Delay until the next read, in milliseconds. Jitter keeps the watchers from reading all at once,
   * for example when the store becomes reachable again.
   */
  function readDelayMs(): number {
    const jitter = 0.5 + random.next();
    if (failures > 0) return Math.min(MAX_BACKOFF_MS, 500 * 2 ** failures) * jitter;
    return Math.max(MIN_READ_INTERVAL_MS, (valueBytes / MAX_READ_BYTES_PER_SECOND) * 1000) * jitter;
  }

  async function read(): Promise<void> {
    const result = await store.get(CONFIGURATION_KEY);
    if (stopped.aborted) return;
    isReachable = result.isOk();
    failures = result.isOk() ? 0 : failures + 1;
    if (result.isOk()) handleEntry(result.value);
    nextReadAt = clock.now() + readDelayMs();
  }

  function closeWatch(): void {
    watch?.close();
    watch = undefined;
    isReachable = undefined;
    failures = 0;
    nextReadAt = 0;
  }

  async function run(): Promise<void> {
    while (!stopped.aborted) {
      if (isWatcher()) {
        watch ??= store.watch(CONFIGURATION_KEY, handleEntry);
        if (clock.now() >= nextReadAt) await read();
      } else if (watch) {
        closeWatch();
      }
      await clock.sleep(SELECTION_INTERVAL_MS * (0.5 + random.next()), stopped);
    }
  }

  return {
    start: () => {
      run().catch((error: unknown) => {
        if (!stopped.aborted) logger.log('error', `watcher failed: ${(error as Error).message}`);
      });
    },
    isStoreReachable: () => isReachable,
    stop: () => {
      stopListening();
      closeWatch();
    },
  };
}
