import { closeHttp, createSupervisor } from '@shallotcroft/core';
import type { Clock, Supervisor, Watch } from '@shallotcroft/core';
import { listenForwarding } from './forwardingListeners.js';
import type { ForwardingListeners } from './forwardingListeners.js';
import { createForwardingParts } from './forwardingParts.js';
import { spentRetries } from './forwardingContext.js';
import type { ForwardingOptions } from './forwardingContext.js';
import type { ForwardingParts } from './forwardingParts.js';
import type { ForwardingSettings } from './forwardingSettings.js';
import { reloadSettings } from './settingsReload.js';

/** Two readiness checks a second apart, and the time in which callers learn, in milliseconds. */
const LEAVE_NOTICE_MS = 2600;
/** Part of the stop timeout that is kept for ending the process, in milliseconds. */
const STOP_RESERVE_MS = 900;
/** Longest wait for connections to end, in milliseconds. */
const CLOSE_TIMEOUT_MS = 250;
/** Time after which a stopping daemon begins nothing new, so that all can end, in milliseconds. */
const LAST_BEGIN_MS = 2900;
const STOP_POLL_MS = 25;
const SWEEP_INTERVAL_MS = 1000;
const MS_PER_S = 1000;

/** A forwarding daemon that runs. */
export interface ForwardingDaemon {
  /** Takes over the settings that may change while it runs. */
  reload(changed: ForwardingSettings): void;
  /** Finishes what was read, then ends. */
  stop(): Promise<void>;
}

async function sweepRegularly(
  { clock }: ForwardingOptions,
  { fleetSync, placement, levels, hopClient }: ForwardingParts,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await clock.sleep(SWEEP_INTERVAL_MS, signal).catch(() => undefined);
    fleetSync.shareSpareRetries();
    placement.sweep();
    levels.sweep();
    hopClient.closeIdleConnections();
  }
}

/** Serves on until all that was read is answered and callers know, or time runs out. */
async function finishRequests(
  clock: Clock,
  stopTimeoutSeconds: number,
  { gateway, guard }: ForwardingParts,
): Promise<void> {
  const beganAt = clock.now();
  const latestMs = stopTimeoutSeconds * MS_PER_S - STOP_RESERVE_MS;
  for (;;) {
    const elapsedMs = clock.now() - beganAt;
    const isBusy = gateway.active() + guard.active() > 0;
    if (elapsedMs >= latestMs || (!isBusy && elapsedMs >= LEAVE_NOTICE_MS)) return;
    await clock.sleep(STOP_POLL_MS);
  }
}

async function closeAll(
  { clock, platform }: ForwardingOptions,
  { hopClient, peers, methods, targetTransport }: ForwardingParts,
  listeners: ForwardingListeners,
  supervisor: Supervisor,
): Promise<void> {
  await Promise.race([closeHttp(listeners.requests.server), clock.sleep(CLOSE_TIMEOUT_MS)]);
  listeners.hops.close();
  hopClient.close();
  listeners.others.forEach(({ server }) => {
    server.close();
    server.closeAllConnections();
  });
  // The store may be away, and what is left needs no answer.
  await Promise.race([
    Promise.all([supervisor.stop(), platform.store.close(), peers.close(), methods.close()]),
    clock.sleep(CLOSE_TIMEOUT_MS),
  ]);
  await targetTransport.close();
}

/** Starts a daemon that forwards requests by host and path; rejects when an address is taken. */
export async function startForwardingDaemon(options: ForwardingOptions): Promise<ForwardingDaemon> {
  const { logger } = options;
  let { settings } = options;
  const parts = createForwardingParts(options);
  const { state, fleetSync, gateway, guard } = parts;
  const supervisor = createSupervisor(options);
  const listeners = await listenForwarding(options, parts);
  const watches: Watch[] = fleetSync.watch();
  supervisor.runTask('announcer', (signal) => fleetSync.runAnnouncer(signal));
  supervisor.runTask('exchange', (signal) => fleetSync.runExchange(signal));
  supervisor.runTask('sweep', (signal) => sweepRegularly(options, parts, signal));
  logger.log('info', 'daemon serves', { incarnation: state.incarnation, host: settings.host });

  async function stopAll(): Promise<void> {
    state.isStopping = true;
    logger.log('info', 'daemon stops', { requests: gateway.active(), hops: guard.active() });
    fleetSync.announce();
    const lastBegin = options.clock.startTimer(LAST_BEGIN_MS, () => {
      state.isClosing = true;
    });
    await finishRequests(options.clock, settings.stopTimeoutSeconds, parts);
    lastBegin.cancel();
    watches.forEach((watch) => watch.close());
    await closeAll(options, parts, listeners, supervisor);
    logger.log('info', 'daemon stopped', { requests: gateway.active(), hops: guard.active() });
  }

  let stopped: Promise<void> | undefined;
  return {
    reload: (changed) => {
      settings = reloadSettings(settings, changed, logger);
      const { ratio, spare } = spentRetries(settings.retry);
      parts.retryBudget.setRatio(ratio);
      state.spareRetries = spare;
      fleetSync.shareSpareRetries();
    },
    stop: () => {
      stopped ??= stopAll();
      return stopped;
    },
  };
}
