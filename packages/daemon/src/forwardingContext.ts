import { v7 as uuidv7 } from 'uuid';
import {
  Counters,
  HopClient,
  HttpCallTransport,
  ChildCallFailures,
  LocalTarget,
  LocalTargetNotices,
  PeerServer,
  CallTrees,
  RequestSuspicions,
  RetryBudget,
  RouteShedLevels,
  RoutingManager,
  RpcPeerCaller,
  TARGET_KEY_PREFIX,
  TargetDirectory,
  TargetPlacement,
  createAdmission,
  createHeldBytes,
  createHistograms,
} from '@shallotcroft/core';
import type {
  Admission,
  Clock,
  HeldBytes,
  Histograms,
  HopPeer,
  Logger,
  RandomSource,
  StopWindow,
} from '@shallotcroft/core';
import type { FleetPlatform } from './fleetPlatform.js';
import type { ForwardingSettings } from './forwardingSettings.js';

/** Limit of connections to the local target; higher than its number of slots. */
const MAX_TARGET_CONNECTIONS = 512;
/**
 * Share of the configured retry budget that the daemons use. It is below 1 because a retry also
 * repeats the child calls of the retried call.
 */
const RETRY_BUDGET_SHARE = 0.7;

type RetryBounds = ForwardingSettings['retry'];

/** Options of `startForwardingDaemon`. */
export interface ForwardingOptions {
  settings: ForwardingSettings;
  platform: FleetPlatform;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
}

/** Identity and mutable state of a forwarding daemon, shared by its components. */
export interface DaemonState {
  /** Unique id of this daemon process. */
  readonly incarnation: string;
  /** Store key of the local target's record. */
  readonly ownKey: string;
  /** True once the daemon rejects requests for its target. */
  isStopping: boolean;
  /** Set while the daemon stops. */
  stopWindow: StopWindow | undefined;
  /** Whether the store is reachable, as last reported by the platform adapter. */
  isStoreReachable: boolean;
  /** Retries that the whole fleet may make in addition to the share of its requests. */
  spareRetries: number;
}

/** State and clients that the components of a forwarding daemon share. */
export interface ForwardingContext {
  state: DaemonState;
  routing: RoutingManager;
  directory: TargetDirectory;
  target: LocalTarget;
  notices: LocalTargetNotices;
  trees: CallTrees;
  failures: ChildCallFailures;
  levels: RouteShedLevels;
  /** Requests under which targets of this service have ended. */
  suspicions: RequestSuspicions;
  placement: TargetPlacement;
  retryBudget: RetryBudget;
  admission: Admission;
  histograms: Histograms;
  counters: Counters;
  peers: RpcPeerCaller;
  methods: PeerServer;
  /** Description of this daemon that is sent to peers when a connection opens. */
  localHopPeer: HopPeer;
  /** Budgets of the bodies that this process holds. */
  heldBytes: HeldBytes;
  hopClient: HopClient;
  targetTransport: HttpCallTransport;
}

/** Retry bounds that the daemons apply: the configured ones scaled by `RETRY_BUDGET_SHARE`. */
export function effectiveRetryBounds({ ratio, spare }: RetryBounds): RetryBounds {
  return { ratio: ratio * RETRY_BUDGET_SHARE, spare: spare * RETRY_BUDGET_SHARE };
}

/** Creates the shared state with an empty directory and no configuration. */
export function createForwardingContext(options: ForwardingOptions): ForwardingContext {
  const { settings, platform, clock, random, logger } = options;
  const incarnation = uuidv7();
  const directory = new TargetDirectory(clock, logger);
  const trees = new CallTrees();
  const failures = new ChildCallFailures(clock);
  const { dataCentre } = settings;
  const retryBounds = effectiveRetryBounds(settings.retry);
  const placement = new TargetPlacement({ clock, random, directory, dataCentre });
  const routing = new RoutingManager(random, logger);
  const target = new LocalTarget(
    clock,
    logger,
    (service) => service === settings.service || routing.hasService(service),
  );
  const { peerPort } = settings.listen;
  const localHopPeer: HopPeer = { incarnation, peerPort, service: settings.service };
  const heldBytes = createHeldBytes(settings.memoryMegabytes);
  const hopClient = new HopClient(
    localHopPeer,
    clock,
    ({ address, port }, idleMs) => {
      logger.log('info', 'daemon unresponsive', { peer: address, silentMs: Math.round(idleMs) });
      placement.recordUnresponsive(address, port);
    },
    heldBytes.responses,
  );
  return {
    state: {
      incarnation,
      ownKey: `${TARGET_KEY_PREFIX}${settings.host}`,
      isStopping: false,
      stopWindow: undefined,
      isStoreReachable: false,
      spareRetries: retryBounds.spare,
    },
    routing,
    directory,
    target,
    notices: new LocalTargetNotices({ clock, logger, target }),
    trees,
    failures,
    levels: new RouteShedLevels({ clock, random, trees, failures }),
    placement,
    suspicions: new RequestSuspicions(clock),
    retryBudget: new RetryBudget(clock, retryBounds.ratio, 0),
    admission: createAdmission({
      clock,
      settings: { limit: 'fixed', slots: 1, objective: 'goodput' },
    }),
    histograms: createHistograms(),
    counters: new Counters(),
    peers: new RpcPeerCaller(),
    methods: new PeerServer(),
    localHopPeer,
    heldBytes,
    hopClient,
    targetTransport: new HttpCallTransport({
      clock,
      incarnation,
      requiresEcho: true,
      idHeader: platform.headerCodec.idHeader,
      allowsCloseDelimited: true,
      responseBytes: heldBytes.responses,
      connections: { maxConnections: MAX_TARGET_CONNECTIONS },
    }),
  };
}
