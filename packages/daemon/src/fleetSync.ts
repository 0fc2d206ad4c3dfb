import { PeerExchange, TARGETS_PREFIX, TargetAnnouncer } from '@shallotcroft/core';
import type { StoreEntry, TargetRecord, Watch } from '@shallotcroft/core';
import type { ForwardingContext, ForwardingOptions } from './forwardingContext.js';

/** What a daemon hears of the fleet and tells it, by the store and by other daemons. */
export interface FleetSync {
  /** Follows the store; closing the watches ends that. */
  watch(): Watch[];
  /** Tells the fleet of the target beside this daemon, now that something changed. */
  announce(): void;
  /** Hears what another daemon knows; it told of a newer configuration. */
  askPeer(address: string, port: number): void;
  /** Divides the fleet's spare retries among the daemons that are known. */
  shareSpareRetries(): void;
  /** Keeps the record of this daemon in the store, until the signal is aborted. */
  runAnnouncer(signal: AbortSignal): Promise<void>;
  /** Talks to other daemons while the store does not answer, until the signal is aborted. */
  runExchange(signal: AbortSignal): Promise<void>;
}

/** What the news need. */
export interface FleetSyncOptions extends ForwardingOptions {
  known: ForwardingContext;
}

/** Makes the news. */
export function createFleetSync(options: FleetSyncOptions): FleetSync {
  const { settings, platform, clock, random, logger, known } = options;
  const { store } = platform;
  const { state, routing, directory, target, peers, methods, retryBudget } = known;
  const { ownKey, incarnation } = state;
  let recordVersion = 0;
  let isAsking = false;

  function ownRecord(): TargetRecord | undefined {
    const local = target.current();
    if (!local) return undefined;
    const { targetId, startedAt, service, dataCentre, slots, warmAt } = local;
    const hasLeft = state.isStopping || local.state === 'gone';
    return {
      targetId,
      startedAt,
      service,
      dataCentre,
      slots,
      warmAt,
      state: hasLeft ? 'stopping' : (local.state as TargetRecord['state']),
      address: settings.address,
      callPort: settings.listen.callPort,
      peerPort: settings.listen.peerPort,
      incarnation,
      version: recordVersion,
    };
  }

  const announcer = new TargetAnnouncer({ key: ownKey, store, clock, logger, record: ownRecord });
  const exchange = new PeerExchange({
    clock,
    random,
    logger,
    peers,
    methods,
    directory,
    routing,
    ownKey,
    ownRecord,
    isStoreReachable: () => state.isStoreReachable,
  });

  function shareSpareRetries(): void {
    const daemons = Math.max(1, directory.all().length);
    retryBudget.setSpare(state.spareRetries / daemons);
  }

  function takeConfiguration(entry: StoreEntry): void {
    if (entry.modRevision === 0 || entry.key !== platform.configurationKey) return;
    const decoded = platform.decodeConfiguration(entry.value);
    if (decoded.isOk()) routing.offer(decoded.value, 'store');
    else logger.log('error', 'configuration not readable', { reason: decoded.error.message });
  }

  function takeRecord(entry: StoreEntry): void {
    if (entry.modRevision > 0) directory.updateFromStore(entry.key, entry.value);
    else if (entry.key === ownKey) announcer.republishDeleted();
    else directory.remove(entry.key);
    shareSpareRetries();
  }

  return {
    watch: () => {
      platform.onStoreReachable((reachable) => {
        state.isStoreReachable = reachable;
        directory.setStoreReachable(reachable);
        if (reachable) announcer.publishSoon();
      });
      return [
        store.watch(platform.configurationKey, takeConfiguration),
        store.watch(TARGETS_PREFIX, takeRecord),
      ];
    },
    announce: () => {
      recordVersion += 1;
      const record = ownRecord();
      if (record) directory.update(ownKey, record);
      announcer.publishSoon();
    },
    askPeer: (address, port) => {
      // Every request tells of the newer version until it is in force; one question is enough.
      if (isAsking) return;
      isAsking = true;
      exchange
        .exchangeWith(address, port)
        .catch((error: unknown) => {
          logger.log('warn', 'exchange failed', { error: (error as Error).message });
        })
        .finally(() => {
          isAsking = false;
        });
    },
    shareSpareRetries,
    runAnnouncer: (signal) => announcer.run(signal),
    runExchange: (signal) => exchange.run(signal),
  };
}
