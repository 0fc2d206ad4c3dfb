import { v7 as uuidv7 } from 'uuid';
import {
  HttpCallTransport,
  INTERIM_TIMEOUT_MS,
  PeerServer,
  ResultCode,
  RpcPeerCaller,
  failureResponse,
  closeHttp,
  createFailure,
  createSupervisor,
  listenHttp,
  startInterimResponses,
} from '@shallotcroft/core';
import type {
  Clock,
  HttpHandler,
  ListeningServer,
  Logger,
  RandomSource,
  Settings,
  Store,
  Supervisor,
} from '@shallotcroft/core';
import { createCallRoutes } from './callRoutes.js';
import { createDaemonComponents } from './daemonComponents.js';
import type { DaemonComponents } from './daemonComponents.js';

/** Limit of the size of a request body, in bytes. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;
/** Interval at which a draining daemon checks for calls in flight, in milliseconds. */
const IN_FLIGHT_POLL_MS = 20;
/**
 * Time for which a draining daemon still responds "not run" to daemons that have not received its
 * member update, in milliseconds.
 */
const LEAVE_PROPAGATION_MS = 1000;
/** Longer than clients keep idle connections, so that the client closes first; in milliseconds. */
const SERVER_IDLE_TIMEOUT_MS = 30_000;

/** Options of `startDaemon`. */
export interface DaemonOptions {
  settings: Settings;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Absent when the settings name no store. */
  store?: Store;
  /** Called when another incarnation has replaced this one; the process should exit. */
  onDisplaced?: () => void;
}

/** A running daemon. */
export interface Daemon {
  /** Settings with the ports that the daemon listens on. */
  settings: Settings;
  components: DaemonComponents;
  /** Drains and stops the daemon; calls in flight are completed first. */
  stop(): Promise<void>;
}

/** Start function of services that already run when they are registered for shutdown. */
const alreadyStarted = async (): Promise<void> => undefined;

function listenForCalls(
  settings: Settings,
  currentHandler: () => HttpHandler | undefined,
): Promise<ListeningServer> {
  return listenHttp(settings.address, settings.callPort, MAX_BODY_BYTES, async (message) => {
    const handler = currentHandler();
    if (handler) return handler(message);
    const reason = 'the daemon is starting; try again';
    return failureResponse(createFailure(ResultCode.notRunNoTarget, reason));
  });
}

/** Rejects new calls, hands the local shards over, and waits for the calls in flight. */
async function drainCalls(components: DaemonComponents, clock: Clock): Promise<void> {
  components.registry.drain();
  await Promise.all([components.atMostOnce.leave(), clock.sleep(LEAVE_PROPAGATION_MS)]);
  while (components.runningCalls.count() > 0) await clock.sleep(IN_FLIGHT_POLL_MS);
  components.registry.stop();
}

/** Starts the components that need the listeners; the supervisor stops them in reverse order. */
async function startComponents(supervisor: Supervisor, components: DaemonComponents, clock: Clock) {
  const { membership, configuration, bootstrap } = components;
  await supervisor.start({
    name: 'membership',
    start: () => membership.start(),
    stop: () => membership.leave(),
  });
  await supervisor.start({
    name: 'configuration',
    start: async () => {
      bootstrap?.start();
      await configuration.start();
    },
    stop: async () => {
      bootstrap?.stop();
      configuration.stop();
    },
  });
  await supervisor.start({
    name: 'target',
    start: alreadyStarted,
    stop: () => drainCalls(components, clock),
  });
}

/** Starts a daemon; rejects if a port is already in use. */
export async function startDaemon(options: DaemonOptions): Promise<Daemon> {
  const { clock, logger, store } = options;
  const incarnation = uuidv7();
  const supervisor = createSupervisor(options);
  const methods = new PeerServer();
  const peers = new RpcPeerCaller();
  const daemonTransport = new HttpCallTransport({
    clock,
    incarnation,
    idleTimeoutMs: INTERIM_TIMEOUT_MS,
    requiresEcho: true,
  });
  const targetTransport = new HttpCallTransport({ clock, incarnation });
  let callRoutes: HttpHandler | undefined;

  const callListener = await listenForCalls(options.settings, () => callRoutes);
  callListener.server.keepAliveTimeout = SERVER_IDLE_TIMEOUT_MS;
  const interimResponses = startInterimResponses(callListener.server, clock);
  const peerPort = await methods.listen(options.settings.address, options.settings.peerPort);
  const settings: Settings = { ...options.settings, callPort: callListener.port, peerPort };
  const components = createDaemonComponents({
    ...options,
    settings,
    incarnation,
    daemonTransport,
    targetTransport,
    peers,
    methods,
  });
  callRoutes = createCallRoutes(components, settings.address);

  await supervisor.start({
    name: 'connections',
    start: alreadyStarted,
    stop: async () => {
      await Promise.all([peers.close(), daemonTransport.close(), targetTransport.close()]);
      await store?.close();
    },
  });
  await supervisor.start({
    name: 'listeners',
    start: alreadyStarted,
    stop: async () => {
      await Promise.all([closeHttp(callListener.server), methods.close()]);
      interimResponses.stop();
    },
  });
  await startComponents(supervisor, components, clock);
  logger.log('info', 'daemon started', {
    incarnation,
    callPort: settings.callPort,
    peerPort: settings.peerPort,
  });
  return { settings, components, stop: () => supervisor.stop() };
}
