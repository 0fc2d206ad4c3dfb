import { v7 as uuidv7 } from 'uuid';
import {
  PeerServer,
  ProvisionalTransport,
  RpcPeerCaller,
  closeHttp,
  createSupervisor,
  listenHttp,
} from '@shallotcroft/core';
import type { Clock, HttpHandler, Logger, RandomSource } from '@shallotcroft/core';
import { createCallRoutes } from './callRoutes.js';
import { createDaemonParts } from './daemonParts.js';
import type { DaemonParts } from './daemonParts.js';
import type { Settings } from './settings.js';

const MAX_BODY_BYTES = 16 * 1024 * 1024;
const IN_FLIGHT_POLL_MS = 20;
/** Daemons that have not heard of the leaving still get an answer, "not run", for this long. */
const LEAVE_NOTICE_MS = 500;
/** Longer than callers keep idle connections, so that they close first. */
const SERVER_IDLE_TIMEOUT_MS = 30_000;

/** What a daemon is made from. */
export interface DaemonOptions {
  settings: Settings;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
}

/** A daemon that runs. */
export interface Daemon {
  settings: Settings;
  parts: DaemonParts;
  /** Leaves gracefully: no request in flight is cut off. */
  stop(): Promise<void>;
}

/** Starts a daemon; fails when an address is taken. */
export async function startDaemon(options: DaemonOptions): Promise<Daemon> {
  const { clock, logger } = options;
  const incarnation = uuidv7();
  const supervisor = createSupervisor(options);
  const methods = new PeerServer();
  const peers = new RpcPeerCaller();
  const transport = new ProvisionalTransport();
  let routes: HttpHandler | undefined;

  const listening = await listenHttp(
    options.settings.address,
    options.settings.callPort,
    MAX_BODY_BYTES,
    async (message) => {
      if (!routes) return { status: 503, headers: {}, body: Buffer.alloc(0) };
      return routes(message);
    },
  );
  listening.server.keepAliveTimeout = SERVER_IDLE_TIMEOUT_MS;
  const peerPort = await methods.listen(options.settings.address, options.settings.peerPort);
  const settings: Settings = { ...options.settings, callPort: listening.port, peerPort };
  const parts = createDaemonParts({ ...options, settings, incarnation, transport, peers, methods });
  routes = createCallRoutes(parts, settings.address);

  async function finishCalls(): Promise<void> {
    parts.registry.drain();
    await clock.sleep(LEAVE_NOTICE_MS);
    while (parts.runningCalls.count() > 0) await clock.sleep(IN_FLIGHT_POLL_MS);
  }

  await supervisor.start({
    name: 'connections',
    start: async () => undefined,
    stop: async () => {
      await Promise.all([peers.close(), transport.close()]);
    },
  });
  await supervisor.start({
    name: 'listeners',
    start: async () => undefined,
    stop: async () => {
      await Promise.all([closeHttp(listening.server), methods.close()]);
    },
  });
  await supervisor.start({
    name: 'membership',
    start: () => parts.membership.start(),
    stop: () => parts.membership.leave(),
  });
  await supervisor.start({
    name: 'target',
    start: async () => undefined,
    stop: async () => {
      await finishCalls();
      parts.registry.stop();
    },
  });
  logger.log('info', 'daemon serves', {
    incarnation,
    callPort: settings.callPort,
    peerPort: settings.peerPort,
  });
  return { settings, parts, stop: () => supervisor.stop() };
}
