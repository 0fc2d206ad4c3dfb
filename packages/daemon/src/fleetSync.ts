import { PeerExchange, TARGET_KEY_PREFIX, TargetAnnouncer } from '@shallotcroft/core';
import type { StoreEntry, TargetRecord, Watch } from '@shallotcroft/core';
import type { ForwardingContext, ForwardingOptions } from './forwardingContext.js';

/** Exchanges target records and configurations with the store and with other daemons. */
export interface FleetSync {
  /** Watches the configuration and the target records in the store; close the watches to stop. */
  watch(): Watch[];
  /** Publishes the record of the local target after a change. */
  announce(): void;
  /** Requests records and the configuration from a daemon that has a newer configuration. */
  pullFromPeer(address: string, port: number): void;
  /** Divides the spare retries of the fleet by the number of known daemons. */
  shareSpareRetries(): void;
  /** Keeps the target record of this daemon in the store until the signal is aborted. */
  runAnnouncer(signal: AbortSignal): Promise<void>;
  /** Exchanges records with other daemons while the store is unreachable, until aborted. */
  runExchange(signal: AbortSignal): Promise<void>;
}

/** Options of `createFleetSync`. */
export interface FleetSyncOptions extends ForwardingOptions {
  context: ForwardingContext;
}

/** Creates the exchange of a daemon with the store and with other daemons. */
export function createFleetSync(options: FleetSyncOptions): FleetSync {
  const { settings, platform, clock, random, logger, context } = options;
  const { store } = platform;
  const { state, routing, directory, target, peers, methods, retryBudget } = context;
  const { ownKey, incarnation } = state;
  let recordVersion = 0;
  let isPulling = false;

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
    const daemonCount = Math.max(1, directory.all().length);
    retryBudget.setSpare(state.spareRetries / daemonCount);
  }

  function applyConfigurationEntry(entry: StoreEntry): void {
    if (entry.modRevision === 0 || entry.key !== platform.configurationKey) return;
    const decoded = platform.decodeConfiguration(entry.value);
    if (decoded.isOk()) routing.applyIfNewer(decoded.value, 'store');
    else logger.log('error', 'invalid configuration', { reason: decoded.error.message });
  }

  function applyTargetEntry(entry: StoreEntry): void {
    if (entry.modRevision > 0) directory.updateFromStore(entry.key, entry.value);
    else if (entry.key === ownKey) announcer.republishDeleted();
    else directory.remove(entry.key);
    shareSpareRetries();
  }

  return {
    watch: () => {
      platform.onStoreReachabilityChange((reachable) => {
        state.isStoreReachable = reachable;
        directory.setStoreReachable(reachable);
        if (reachable) announcer.publishSoon();
      });
      return [
        store.watch(platform.configurationKey, applyConfigurationEntry),
        store.watch(TARGET_KEY_PREFIX, applyTargetEntry),
      ];
    },
    announce: () => {
      recordVersion += 1;
      const record = ownRecord();
      if (record) directory.update(ownKey, record);
      announcer.publishSoon();
    },
    pullFromPeer: (address, port) => {
      // Each request carries the newer version until it is loaded here; one pull is enough.
      if (isPulling) return;
      isPulling = true;
      exchange
        .exchangeWith(address, port)
        .catch((error: unknown) => {
          logger.log('warn', 'exchange with a peer failed', { error: (error as Error).message });
        })
        .finally(() => {
          isPulling = false;
        });
    },
    shareSpareRetries,
    runAnnouncer: (signal) => announcer.run(signal),
    runExchange: (signal) => exchange.run(signal),
  };
}
