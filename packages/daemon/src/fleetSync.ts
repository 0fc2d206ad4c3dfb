import {
  PeerExchange,
  TARGET_KEY_PREFIX,
  TargetAnnouncer,
  parseTargetRecord,
} from '@shallotcroft/core';
import type { StoreEntry, TargetRecord, Watch } from '@shallotcroft/core';
import type { ForwardingContext, ForwardingOptions } from './forwardingContext.js';

/** Exchanges target records and configurations with the store and with other daemons. */
export interface FleetSync {
  /** Watches the configuration and the target records in the store; close the watches to stop. */
  watch(): Watch[];
  /** Publishes the record of the local target after a change. */
  announce(): void;
  /** Requests the configuration from a daemon that has a newer one. */
  pullFromPeer(address: string, port: number): void;
  /** Applies the number of known daemons: divides the spare retries and paces store requests. */
  applyFleetSize(): void;
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
      ...(local.state === 'gone' && { hasTargetLeft: true }),
      address: settings.address,
      callPort: settings.listen.callPort,
      peerPort: settings.listen.peerPort,
      incarnation,
      version: recordVersion,
    };
  }

  /** Takes over what the former process of this daemon has acknowledged to a leaving target. */
  function restoreLeaving(value: string): void {
    const former = parseTargetRecord(value);
    if (!former || former.incarnation === incarnation) return;
    const { targetId, startedAt } = former;
    const leaving = former.hasTargetLeft ? 'gone' : former.state;
    if (leaving === 'gone' || leaving === 'draining') {
      target.restore({ targetId, startedAt, state: leaving });
    }
  }

  const isStoreReachable = (): boolean => state.isStoreReachable;
  const announcer = new TargetAnnouncer({
    key: ownKey,
    store,
    clock,
    logger,
    pacing: platform.pacing,
    isStoreReachable,
    onForeignRecord: restoreLeaving,
    record: ownRecord,
  });
  const exchange = new PeerExchange({
    clock,
    random,
    logger,
    peers,
    methods,
    directory,
    routing,
    ownKey,
    dataCentre: settings.dataCentre,
    ownRecord,
    isStoreReachable,
  });

  function applyFleetSize(): void {
    const daemonCount = Math.max(1, directory.size);
    retryBudget.setSpare(state.spareRetries / daemonCount);
    platform.pacing.setFleetSize(daemonCount);
  }

  function applyConfigurationEntry(entry: StoreEntry): void {
    if (entry.modRevision === 0 || entry.key !== platform.configurationKey) return;
    const decoded = platform.decodeConfiguration(entry.value);
    if (decoded.isOk()) routing.applyIfNewer(decoded.value, 'store');
    else logger.log('error', 'invalid configuration', { reason: decoded.error.message });
  }

  function applyTargetEntry(entry: StoreEntry): void {
    if (entry.modRevision > 0) {
      directory.updateFromStore(entry.key, entry.value, entry.modRevision);
      if (entry.key === ownKey) announcer.republishReplaced(entry.modRevision);
    } else if (entry.key === ownKey) announcer.republishDeleted();
    else directory.remove(entry.key);
    applyFleetSize();
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
        store.watch(TARGET_KEY_PREFIX, applyTargetEntry, 'relaxed'),
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
      // Without the store this daemon may not know other targets either.
      const pull = state.isStoreReachable
        ? exchange.requestConfiguration(address, port)
        : exchange.exchangeWith(address, port);
      pull
        .catch((error: unknown) => {
          logger.log('warn', 'exchange with a peer failed', { error: (error as Error).message });
        })
        .finally(() => {
          isPulling = false;
        });
    },
    applyFleetSize,
    runAnnouncer: (signal) => announcer.run(signal),
    runExchange: (signal) => exchange.run(signal),
  };
}
