import { v7 as uuidv7 } from 'uuid';
import {
  Counters,
  HopClient,
  HttpCallTransport,
  ChildCallFailures,
  LocalTarget,
  PeerServer,
  RequestTrees,
  RetryBudget,
  RouteShedLevels,
  RoutingManager,
  RpcPeerCaller,
  TARGETS_PREFIX,
  TargetDirectory,
  TargetPlacement,
  createAdmission,
  createHistograms,
} from '@shallotcroft/core';
import type {
  Admission,
  Clock,
  Histograms,
  HopPeer,
  Logger,
  RandomSource,
} from '@shallotcroft/core';
import type { FleetPlatform } from './fleetPlatform.js';
import type { ForwardingSettings } from './forwardingSettings.js';

/** Connections to the target beside this daemon; more than it has slots. */
const TARGET_CONNECTIONS = 512;
/** Share of the fleet's retry budget that is spent: repeated calls repeat the calls below them. */
const BUDGET_SHARE = 0.7;

type RetryBounds = ForwardingSettings['retry'];

/** What the parts of a forwarding daemon are made from. */
export interface ForwardingOptions {
  settings: ForwardingSettings;
  platform: FleetPlatform;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
}

/** What the parts of one daemon must know of it, and what changes while it runs. */
export interface DaemonState {
  /** Id of this run. */
  readonly incarnation: string;
  /** Key of the record of this daemon's target. */
  readonly ownKey: string;
  /** True once the daemon takes no more requests for its target. */
  isStopping: boolean;
  /** True once the daemon begins no more requests of callers. */
  isClosing: boolean;
  isStoreReachable: boolean;
  /** Retries that the whole fleet may make besides its share of the requests. */
  spareRetries: number;
}

/** What is known of the fleet and of the requests under way. */
export interface ForwardingContext {
  state: DaemonState;
  routing: RoutingManager;
  directory: TargetDirectory;
  target: LocalTarget;
  trees: RequestTrees;
  failures: ChildCallFailures;
  levels: RouteShedLevels;
  placement: TargetPlacement;
  retryBudget: RetryBudget;
  admission: Admission;
  histograms: Histograms;
  counters: Counters;
  peers: RpcPeerCaller;
  methods: PeerServer;
  /** What other daemons are told of this one on each connection. */
  hopEnd: HopPeer;
  hopClient: HopClient;
  targetTransport: HttpCallTransport;
}

/** The part of the fleet's retry bounds that is spent. */
export function spentRetries({ ratio, spare }: RetryBounds): RetryBounds {
  return { ratio: ratio * BUDGET_SHARE, spare: spare * BUDGET_SHARE };
}

/** Makes what is known, of which nothing is known yet. */
export function createForwardingContext(options: ForwardingOptions): ForwardingContext {
  const { settings, platform, clock, random, logger } = options;
  const incarnation = uuidv7();
  const directory = new TargetDirectory(clock, logger);
  const trees = new RequestTrees();
  const failures = new ChildCallFailures(clock);
  const { dataCentre } = settings;
  const retries = spentRetries(settings.retry);
  const placement = new TargetPlacement({ clock, random, directory, dataCentre });
  const { peerPort } = settings.listen;
  const hopEnd: HopPeer = { incarnation, peerPort, service: settings.service };
  const hopClient = new HopClient(hopEnd, clock, ({ address, port }, silentMs) => {
    logger.log('info', 'daemon is silent', { peer: address, silentMs: Math.round(silentMs) });
    placement.recordUnresponsive(address, port);
  });
  return {
    state: {
      incarnation,
      ownKey: `${TARGETS_PREFIX}${settings.host}`,
      isStopping: false,
      isClosing: false,
      isStoreReachable: false,
      spareRetries: retries.spare,
    },
    routing: new RoutingManager(random, logger),
    directory,
    target: new LocalTarget(clock, logger),
    trees,
    failures,
    levels: new RouteShedLevels({ clock, random, trees, failures }),
    placement,
    retryBudget: new RetryBudget(clock, retries.ratio, 0),
    admission: createAdmission({
      clock,
      settings: { limit: 'fixed', slots: 1, objective: 'goodput' },
    }),
    histograms: createHistograms(),
    counters: new Counters(),
    peers: new RpcPeerCaller(),
    methods: new PeerServer(),
    hopEnd,
    hopClient,
    targetTransport: new HttpCallTransport({
      clock,
      incarnation,
      requiresEcho: true,
      idHeader: platform.headerCodec.idHeader,
      allowsCloseDelimited: true,
      connections: { maxConnections: TARGET_CONNECTIONS },
    }),
  };
}
