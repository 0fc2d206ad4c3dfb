import { v7 as uuidv7 } from 'uuid';
import {
  AttemptRegister,
  Counters,
  HopClient,
  HopServer,
  HttpCallTransport,
  InnerFailures,
  LocalTarget,
  PeerExchange,
  PeerServer,
  RequestTrees,
  RetryBudget,
  RouteLevels,
  RoutingKeeper,
  RpcPeerCaller,
  TARGETS_PREFIX,
  TargetAnnouncer,
  TargetDirectory,
  TargetPlacement,
  VOID_METHOD,
  closeHttp,
  metricsText,
  createAdmission,
  createHistograms,
  createHopSender,
  createRequestGateway,
  createSupervisor,
  createTargetGuard,
  endToEndHeaders,
  listenHttp,
} from '@shallotcroft/core';
import type {
  Clock,
  Endpoint,
  HttpHandler,
  HttpMessage,
  KnownTarget,
  ListeningServer,
  Logger,
  RandomSource,
  RequestGateway,
  StoreEntry,
  TargetGuard,
  TargetRecord,
  VoidParams,
} from '@shallotcroft/core';
import type { FleetPlatform } from './fleetPlatform.js';
import type { ForwardingSettings } from './forwardingSettings.js';

/** Largest request body that is held while no configuration says otherwise, in bytes. */
const MAX_BODY_BYTES = 64 * 1024 * 1024;
/** Idle time after which callers' connections are closed while no configuration is known. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** Two readiness checks a second apart, and the time in which callers learn, in milliseconds. */
const LEAVE_NOTICE_MS = 2600;
/** Part of the stop timeout that is kept for ending the process, in milliseconds. */
const STOP_RESERVE_MS = 1200;
/** Longest wait for connections to end, in milliseconds. */
const CLOSE_TIMEOUT_MS = 300;
const STOP_POLL_MS = 25;
/** Share of the slots that is used; some targets slow down when they are nearly full. */
const USED_SLOT_SHARE = 0.95;
/** Share of the fleet's retry budget that is spent: repeated calls repeat the calls below them. */
const BUDGET_SHARE = 0.7;
const SWEEP_INTERVAL_MS = 1000;
const MS_PER_S = 1000;

/** What a forwarding daemon is made from. */
export interface ForwardingDaemonOptions {
  settings: ForwardingSettings;
  platform: FleetPlatform;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
}

/** A forwarding daemon that runs. */
export interface ForwardingDaemon {
  /** Finishes what was read, then ends. */
  stop(): Promise<void>;
}

interface Listeners {
  requests: ListeningServer;
  others: ListeningServer[];
}

function listen(endpoint: Endpoint, handler: HttpHandler): Promise<ListeningServer> {
  return listenHttp(endpoint.address, endpoint.port, MAX_BODY_BYTES, handler);
}

/** Starts a daemon that forwards requests by host and path; rejects when an address is taken. */
export async function startForwardingDaemon(
  options: ForwardingDaemonOptions,
): Promise<ForwardingDaemon> {
  const { settings, platform, clock, random, logger } = options;
  const { store, dialect } = platform;
  const incarnation = uuidv7();
  const ownKey = `${TARGETS_PREFIX}${settings.host}`;
  const supervisor = createSupervisor(options);
  let stopping = false;
  let storeReachable = false;
  let isAsking = false;
  let recordVersion = 0;

  const routing = new RoutingKeeper(random, logger);
  const directory = new TargetDirectory(clock, logger);
  const target = new LocalTarget(clock, logger);
  const attempts = new AttemptRegister(clock);
  const histograms = createHistograms();
  const counters = new Counters();
  const admission = createAdmission({
    clock,
    settings: { limit: 'fixed', slots: 1, objective: 'goodput' },
  });
  const hopClient = new HopClient(clock);
  const targetTransport = new HttpCallTransport({
    clock,
    incarnation,
    echoRequired: true,
    idHeader: dialect.idHeader,
    closeDelimited: true,
    connections: { connections: 512 },
  });
  const peers = new RpcPeerCaller();
  const methods = new PeerServer();

  const trees = new RequestTrees();
  const failures = new InnerFailures(clock);
  const levels = new RouteLevels({ clock, random, trees, failures });
  const guard: TargetGuard = createTargetGuard({
    clock,
    logger,
    transport: targetTransport,
    dialect,
    admission,
    attempts,
    target,
    histograms,
    counters,
    trees,
    levels,
    endpoint: settings.target,
    incarnation,
    isStopping: () => stopping,
    configurationVersion: () => routing.version(),
  });
  const placement = new TargetPlacement({
    clock,
    random,
    directory,
    dataCentre: settings.dataCentre,
  });

  function ownRecord(): TargetRecord | undefined {
    const local = target.current();
    if (!local) return undefined;
    const { targetId, startedAt, service, dataCentre, slots, warmAt } = local;
    const leaving = stopping || local.state === 'gone';
    const state = leaving ? 'stopping' : local.state;
    return {
      targetId,
      startedAt,
      service,
      dataCentre,
      slots,
      warmAt,
      state: state as TargetRecord['state'],
      address: settings.address,
      callPort: settings.listen.callPort,
      peerPort: settings.listen.peerPort,
      incarnation,
      version: recordVersion,
    };
  }

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
    isStoreReachable: () => storeReachable,
  });

  /** Hears what another daemon knows; it told of a newer configuration. */
  function askPeer(address: string, port: number): void {
    // Every request tells of the newer version until it is in force; one question is enough.
    if (isAsking) return;
    isAsking = true;
    exchange
      .ask(address, port)
      .catch((error: unknown) => {
        logger.log('warn', 'exchange failed', { error: (error as Error).message });
      })
      .finally(() => {
        isAsking = false;
      });
  }

  const retryBudget = new RetryBudget(clock, settings.retry.ratio * BUDGET_SHARE, 0);

  /** The fleet's spare retries are shared by the daemons that are known. */
  function shareSpareRetries(): void {
    const daemons = Math.max(1, directory.all().length);
    retryBudget.setSpare((settings.retry.spare * BUDGET_SHARE) / daemons);
  }

  const gateway: RequestGateway = createRequestGateway({
    clock,
    random,
    logger,
    histograms,
    counters,
    routing,
    placement,
    levels,
    failures,
    trees,
    sender: createHopSender({
      client: hopClient,
      peers,
      guard,
      ownKey,
    }),
    peerPort: settings.listen.peerPort,
    retryBudget,
    incarnation,
    ownService: () => settings.service,
    onPeerVersion: (_version, peer: KnownTarget) => {
      askPeer(peer.record.address, peer.record.peerPort);
    },
  });

  const announcer = new TargetAnnouncer({ key: ownKey, store, clock, logger, record: ownRecord });

  function announce(): void {
    recordVersion += 1;
    const record = ownRecord();
    if (record) directory.learn(ownKey, record);
    announcer.touch();
  }

  target.onChange(() => {
    const local = target.current();
    if (local) {
      const slots = Math.max(1, Math.floor(local.slots * USED_SLOT_SHARE));
      admission.reconfigure({ limit: 'fixed', slots, objective: 'goodput' });
    }
    announce();
  });

  const isReady = (): boolean =>
    !stopping && routing.current() !== undefined && directory.all().length > 0;

  async function handleRequest(message: HttpMessage) {
    const headers = endToEndHeaders(message.headers);
    const caller = dialect.readCaller(headers);
    const { host } = message.headers;
    const answer = await gateway.forward(
      {
        id: caller?.id ?? '',
        parentId: caller?.parentId,
        method: message.method,
        url: message.url,
        host: typeof host === 'string' ? host : '',
        headers,
        body: message.body,
        remainingMs: caller?.remainingMs,
      },
      message.signal,
    );
    // A stopping daemon lets callers go with their last answer.
    if (stopping) answer.headers.connection = 'close';
    return answer;
  }

  const hopServer = new HopServer((request, signal, remoteAddress) => {
    if (request.configurationVersion > routing.version()) {
      askPeer(remoteAddress, request.peerPort);
    }
    return guard.handle(request, signal);
  }, logger);

  /** Counters, gauges and histograms as text. */
  async function handleMetrics() {
    const { inFlight, waiting, limit } = admission.load();
    const gauges = {
      configuration_version: routing.version(),
      store_reachable: storeReachable ? 1 : 0,
      targets_known: directory.all().length,
      requests_active: gateway.active(),
      target_in_flight: inFlight,
      target_waiting: waiting,
      target_limit: limit,
      shed_level: admission.shedLevel(),
    };
    const body = Buffer.from(metricsText(gauges, counters, histograms.rows()));
    return { status: 200, headers: { 'content-type': 'text/plain' }, body };
  }

  async function listenAll(): Promise<Listeners> {
    const { requests, readiness, heartbeats, callPort, metricsPort } = settings.listen;
    const listeners: Listeners = {
      requests: await listen(requests, handleRequest),
      others: [
        await listen(readiness, platform.readinessHandler(isReady)),
        await listen(heartbeats, platform.heartbeatHandler(target)),
        await listen({ address: settings.address, port: metricsPort }, handleMetrics),
      ],
    };
    listeners.requests.server.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT_MS;
    await hopServer.listen(settings.address, callPort);
    return listeners;
  }

  function takeConfiguration(entry: StoreEntry): void {
    if (entry.modRevision === 0 || entry.key !== platform.configurationKey) return;
    const decoded = platform.decodeConfiguration(entry.value);
    if (decoded.isOk()) routing.offer(decoded.value, 'store');
    else logger.log('error', 'configuration not readable', { reason: decoded.error.message });
  }

  function takeRecord(entry: StoreEntry): void {
    if (entry.modRevision > 0) directory.put(entry.key, entry.value);
    else if (entry.key === ownKey) announcer.forget();
    else directory.remove(entry.key);
    shareSpareRetries();
  }

  methods.register(VOID_METHOD, async (params) => {
    const { attemptId, incarnation: expected } = params as VoidParams;
    return expected === incarnation ? attempts.void(attemptId) : 'unknown';
  });

  const listeners = await listenAll();
  await methods.listen(settings.address, settings.listen.peerPort);
  routing.onChange(({ limits, routes }) => {
    trees.keepRoutes(new Set(routes.map(({ name }) => name)));
    listeners.requests.server.keepAliveTimeout = limits.idleTimeoutMs;
    listeners.requests.server.headersTimeout = limits.headerTimeoutMs;
  });
  platform.onStoreReachable((reachable) => {
    storeReachable = reachable;
    directory.setStoreReachable(reachable);
    if (reachable) announcer.touch();
  });
  const watches = [
    store.watch(platform.configurationKey, takeConfiguration),
    store.watch(TARGETS_PREFIX, takeRecord),
  ];
  supervisor.runTask('announcer', (signal) => announcer.run(signal));
  supervisor.runTask('exchange', (signal) => exchange.run(signal));
  supervisor.runTask('sweep', async (signal) => {
    while (!signal.aborted) {
      await clock.sleep(SWEEP_INTERVAL_MS, signal).catch(() => undefined);
      shareSpareRetries();
      placement.sweep();
      levels.sweep();
      hopClient.sweep();
    }
  });
  logger.log('info', 'daemon serves', { incarnation, host: settings.host });

  async function finishRequests(): Promise<void> {
    const beganAt = clock.now();
    const latest = settings.stopTimeoutSeconds * MS_PER_S - STOP_RESERVE_MS;
    for (;;) {
      const elapsed = clock.now() - beganAt;
      const busy = gateway.active() + guard.active() > 0;
      if (elapsed >= latest || (!busy && elapsed >= LEAVE_NOTICE_MS)) return;
      await clock.sleep(STOP_POLL_MS);
    }
  }

  async function stopAll(): Promise<void> {
    stopping = true;
    logger.log('info', 'daemon stops', {
      requests: gateway.active(),
      hops: guard.active(),
    });
    announce();
    await finishRequests();
    await Promise.race([closeHttp(listeners.requests.server), clock.sleep(CLOSE_TIMEOUT_MS)]);
    hopServer.close();
    hopClient.close();
    watches.forEach((watch) => watch.close());
    listeners.others.forEach(({ server }) => {
      server.close();
      server.closeAllConnections();
    });
    // The store may be away, and what is left needs no answer.
    await Promise.race([
      Promise.all([supervisor.stop(), store.close(), peers.close(), methods.close()]),
      clock.sleep(CLOSE_TIMEOUT_MS),
    ]);
    await targetTransport.close();
    logger.log('info', 'daemon stopped', { requests: gateway.active(), hops: guard.active() });
  }

  let stopped: Promise<void> | undefined;
  return {
    stop: () => {
      stopped ??= stopAll();
      return stopped;
    },
  };
}
