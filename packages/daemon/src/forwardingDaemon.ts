import { closeHttp, createSupervisor } from '@shallotcroft/core';
import type { Clock, Supervisor, Watch } from '@shallotcroft/core';
import { startForwardingListeners } from './forwardingListeners.js';
import type { ForwardingListeners } from './forwardingListeners.js';
import { createForwardingComponents } from './forwardingComponents.js';
import { effectiveRetryBounds } from './forwardingContext.js';
import type { ForwardingOptions } from './forwardingContext.js';
import type { ForwardingComponents } from './forwardingComponents.js';
import type { ForwardingSettings } from './forwardingSettings.js';
import { reloadSettings } from './settingsReload.js';

/**
 * Shortest drain, in milliseconds: two readiness checks one second apart, plus the time until
 * callers stop sending requests here.
 */
const MIN_DRAIN_MS = 2600;
/** Part of the stop timeout reserved for closing connections and exiting, in milliseconds. */
const EXIT_RESERVE_MS = 900;
/** Longest wait for connections to close, in milliseconds. */
const CLOSE_TIMEOUT_MS = 250;
/** Time for which a stopping daemon still accepts new root requests, in milliseconds. */
const DRAIN_ACCEPT_MS = 2900;
/** Interval at which a stopping daemon checks for requests in flight, in milliseconds. */
const STOP_POLL_MS = 25;
/** Interval at which expired state is removed, in milliseconds. */
const SWEEP_INTERVAL_MS = 1000;
const MS_PER_S = 1000;

/** A running daemon that forwards requests by host and path. */
export interface ForwardingDaemon {
  /** Applies the changed settings that need no restart. */
  reload(changed: ForwardingSettings): void;
  /** Completes the requests already received, at most until the stop timeout, then stops. */
  stop(): Promise<void>;
}

async function runSweeps(
  { clock }: ForwardingOptions,
  { fleetSync, placement, levels, hopClient, suspicions, suspicionSharing }: ForwardingComponents,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await clock.sleep(SWEEP_INTERVAL_MS, signal).catch(() => undefined);
    fleetSync.applyFleetSize();
    placement.sweep();
    levels.sweep();
    suspicions.sweep();
    suspicionSharing.tellNewcomers();
    hopClient.closeIdleConnections();
  }
}

/** Waits until no request is in flight and the shortest drain is over, at most until `endsAt`. */
async function drainRequests(
  clock: Clock,
  endsAt: number,
  { gateway, guard }: ForwardingComponents,
): Promise<void> {
  const minEndsAt = clock.now() + MIN_DRAIN_MS;
  for (;;) {
    const now = clock.now();
    const isBusy = gateway.active() + guard.active() > 0;
    if (now >= endsAt || (!isBusy && now >= minEndsAt)) return;
    await clock.sleep(STOP_POLL_MS);
  }
}

async function closeAll(
  { clock, platform }: ForwardingOptions,
  { hopClient, peers, methods, targetTransport }: ForwardingComponents,
  listeners: ForwardingListeners,
  supervisor: Supervisor,
): Promise<void> {
  await Promise.race([closeHttp(listeners.requests.server), clock.sleep(CLOSE_TIMEOUT_MS)]);
  listeners.hops.close();
  hopClient.close();
  listeners.auxiliary.forEach(({ server }) => {
    server.close();
    server.closeAllConnections();
  });
  // The store may be unreachable; the remaining tasks are abandoned after the timeout.
  await Promise.race([
    Promise.all([supervisor.stop(), platform.store.close(), peers.close(), methods.close()]),
    clock.sleep(CLOSE_TIMEOUT_MS),
  ]);
  await targetTransport.close();
}

/** Starts a daemon that forwards requests by host and path; rejects if a port is already in use. */
export async function startForwardingDaemon(options: ForwardingOptions): Promise<ForwardingDaemon> {
  const { logger } = options;
  let { settings } = options;
  const components = createForwardingComponents(options);
  const { state, fleetSync, gateway, guard } = components;
  const supervisor = createSupervisor(options);
  const listeners = await startForwardingListeners(options, components);
  const watches: Watch[] = fleetSync.watch();
  supervisor.runTask('announcer', (signal) => fleetSync.runAnnouncer(signal));
  supervisor.runTask('exchange', (signal) => fleetSync.runExchange(signal));
  supervisor.runTask('sweep', (signal) => runSweeps(options, components, signal));
  logger.log('info', 'daemon started', { incarnation: state.incarnation, host: settings.host });

  async function stopAll(): Promise<void> {
    state.isStopping = true;
    logger.log('info', 'daemon stopping', { requests: gateway.active(), hops: guard.active() });
    fleetSync.announce();
    const now = options.clock.now();
    const endsAt = now + settings.stopTimeoutSeconds * MS_PER_S - EXIT_RESERVE_MS;
    state.stopWindow = { rootsUntil: now + DRAIN_ACCEPT_MS, endsAt };
    await drainRequests(options.clock, endsAt, components);
    watches.forEach((watch) => watch.close());
    await closeAll(options, components, listeners, supervisor);
    logger.log('info', 'daemon stopped', { requests: gateway.active(), hops: guard.active() });
  }

  let stopped: Promise<void> | undefined;
  return {
    reload: (changed) => {
      settings = reloadSettings(settings, changed, logger);
      const { ratio, spare } = effectiveRetryBounds(settings.retry);
      components.retryBudget.setRatio(ratio);
      state.spareRetries = spare;
      fleetSync.applyFleetSize();
    },
    stop: () => {
      stopped ??= stopAll();
      return stopped;
    },
  };
}
