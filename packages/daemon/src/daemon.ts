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
import { createDaemonParts } from './daemonParts.js';
import type { DaemonParts } from './daemonParts.js';

const MAX_BODY_BYTES = 16 * 1024 * 1024;
const IN_FLIGHT_POLL_MS = 20;
/** Daemons that have not heard of the leaving still get an answer, "not run", for this long. */
const LEAVE_NOTICE_MS = 1000;
/** Longer than callers keep idle connections, so that they close first. */
const SERVER_IDLE_TIMEOUT_MS = 30_000;

/** What a daemon is made from. */
export interface DaemonOptions {
  settings: Settings;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Absent when the settings name no store. */
  store?: Store;
  /** Called when another incarnation has taken this daemon's place; the process should end. */
  onDisplaced?: () => void;
}

/** A daemon that runs. */
export interface Daemon {
  settings: Settings;
  parts: DaemonParts;
  /** Leaves gracefully: no request in flight is cut off. */
  stop(): Promise<void>;
}

const startedAlready = async (): Promise<void> => undefined;

function listenForCalls(
  settings: Settings,
  routes: () => HttpHandler | undefined,
): Promise<ListeningServer> {
  return listenHttp(settings.address, settings.callPort, MAX_BODY_BYTES, async (message) => {
    const handler = routes();
    if (handler) return handler(message);
    const notYet = 'the daemon is starting; try again';
    return failureResponse(createFailure(ResultCode.notRunNoTarget, notYet));
  });
}

/** Refuses new work, hands keys over, and waits for the calls in flight. */
async function finishCalls(parts: DaemonParts, clock: Clock): Promise<void> {
  parts.registry.drain();
  await Promise.all([parts.atMostOnce.leave(), clock.sleep(LEAVE_NOTICE_MS)]);
  while (parts.runningCalls.count() > 0) await clock.sleep(IN_FLIGHT_POLL_MS);
  parts.registry.stop();
}

/** Starts what stands on the listeners, in the order in which it is stopped in reverse. */
async function startParts(supervisor: Supervisor, parts: DaemonParts, clock: Clock) {
  const { membership, configuration, bootstrap } = parts;
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
    start: startedAlready,
    stop: () => finishCalls(parts, clock),
  });
}

/** Starts a daemon; rejects when an address is taken. */
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
  let routes: HttpHandler | undefined;

  const listening = await listenForCalls(options.settings, () => routes);
  listening.server.keepAliveTimeout = SERVER_IDLE_TIMEOUT_MS;
  const interim = startInterimResponses(listening.server, clock);
  const peerPort = await methods.listen(options.settings.address, options.settings.peerPort);
  const settings: Settings = { ...options.settings, callPort: listening.port, peerPort };
  const parts = createDaemonParts({
    ...options,
    settings,
    incarnation,
    daemonTransport,
    targetTransport,
    peers,
    methods,
  });
  routes = createCallRoutes(parts, settings.address);

  await supervisor.start({
    name: 'connections',
    start: startedAlready,
    stop: async () => {
      await Promise.all([peers.close(), daemonTransport.close(), targetTransport.close()]);
      await store?.close();
    },
  });
  await supervisor.start({
    name: 'listeners',
    start: startedAlready,
    stop: async () => {
      await Promise.all([closeHttp(listening.server), methods.close()]);
      interim.stop();
    },
  });
  await startParts(supervisor, parts, clock);
  logger.log('info', 'daemon serves', {
    incarnation,
    callPort: settings.callPort,
    peerPort: settings.peerPort,
  });
  return { settings, parts, stop: () => supervisor.stop() };
}
