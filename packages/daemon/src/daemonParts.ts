import {
  ControlMethod,
  RetryBudget,
  createAdmission,
  createBootstrapManager,
  createCallOrigins,
  createCallRouting,
  createConfigurationManager,
  createGateway,
  createGuard,
  createHistograms,
  createDownstreamShedLevel,
  createMembership,
  createRunningCalls,
  createTargetRegistry,
  connectedMembers,
  peerAddressOf,
  readBootstrapAddresses,
  serveDirectoryViews,
} from '@shallotcroft/core';
import type {
  Admission,
  AdmissionSettings,
  BootstrapManager,
  CallTransport,
  Clock,
  ConfigurationManager,
  DaemonStatus,
  Gateway,
  Guard,
  Histograms,
  Logger,
  Member,
  Membership,
  PeerCaller,
  PeerMethods,
  RandomSource,
  RunningCalls,
  Settings,
  Store,
  TargetRegistry,
  TargetState,
} from '@shallotcroft/core';
import { createAtMostOnceSlot } from './atMostOnceSlot.js';
import type { AtMostOnceSlot } from './atMostOnceSlot.js';

/** What the parts of a daemon are made from. */
export interface DaemonPartsOptions {
  settings: Settings;
  /** Unique id of this run. */
  incarnation: string;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Carries calls to the daemons of other targets. */
  daemonTransport: CallTransport;
  /** Carries calls to the target beside this daemon. */
  targetTransport: CallTransport;
  peers: PeerCaller;
  methods: PeerMethods;
  /** Absent when the settings name no store. */
  store?: Store;
  /** Called when another incarnation has taken this daemon's place. */
  onDisplaced?: () => void;
}

/** The parts of a daemon, without listeners. */
export interface DaemonParts {
  gateway: Gateway;
  guard: Guard;
  admission: Admission;
  registry: TargetRegistry;
  runningCalls: RunningCalls;
  histograms: Histograms;
  membership: Membership;
  configuration: ConfigurationManager;
  bootstrap: BootstrapManager | undefined;
  atMostOnce: AtMostOnceSlot;
  status(): DaemonStatus;
}

/** In force until a configuration is known; until then the daemon announces no target. */
const initialAdmission: AdmissionSettings = { limit: 'adaptive', slots: 1, objective: 'goodput' };

function memberOfSettings(settings: Settings, incarnation: string): Member {
  return {
    incarnation,
    version: 1,
    host: settings.host,
    dataCentre: settings.dataCentre,
    service: '',
    state: 'starting',
    address: settings.address,
    callPort: settings.callPort,
    peerPort: settings.peerPort,
    homes: [],
  };
}

/** Parts that know the fleet and the configuration. */
function createFleetParts(options: DaemonPartsOptions) {
  const { settings, clock, store } = options;
  let manager: ConfigurationManager | undefined;
  const membership: Membership = createMembership({
    ...options,
    self: memberOfSettings(settings, options.incarnation),
    bootstrap: () => readBootstrapAddresses(store, settings.bootstrap, clock),
    connected: () => {
      const audience = connectedMembers(membership.self(), membership, manager?.current());
      return audience.map(peerAddressOf);
    },
  });
  const configuration = createConfigurationManager({ ...options, membership });
  manager = configuration;
  return {
    membership,
    configuration,
    bootstrap: store && createBootstrapManager({ ...options, store, membership }),
  };
}

/** Follows the target and the configuration: what is announced, admitted and kept depends on both. */
function followTarget(parts: Omit<DaemonParts, 'guard' | 'gateway' | 'status'>): void {
  const { registry, configuration, admission, membership, atMostOnce } = parts;

  /** A daemon outlives its target: it waits for another one, unless it is leaving itself. */
  function announcedState(): TargetState {
    const state = registry.state();
    if (state !== 'gone') return state;
    return membership.self().state === 'draining' ? 'draining' : 'starting';
  }

  function refresh(): void {
    const current = configuration.current();
    const service = registry.current()?.service ?? membership.self().service;
    const policy = current?.services[service];
    if (!current || !policy) return;
    const { limit, slots, shards } = policy;
    admission.reconfigure({ limit, slots, objective: current.objective });
    membership.update({ service, state: announcedState() }).catch(() => undefined);
    atMostOnce.begin({ self: membership.self(), service, shards });
  }

  registry.onChange(() => {
    if (registry.state() === 'draining') {
      admission.close();
      atMostOnce.leave().catch(() => undefined);
    }
    refresh();
  });
  configuration.onChange(refresh);
}

/** Parts that calls pass through. */
function createCallParts(
  options: DaemonPartsOptions,
  parts: Omit<DaemonParts, 'guard' | 'gateway' | 'status'>,
): Pick<DaemonParts, 'guard' | 'gateway'> {
  const { settings, clock } = options;
  const { membership } = parts;
  const configuration = parts.configuration.current;
  const { subsets, shedding, router } = createCallRouting({
    ...options,
    caller: settings,
    directory: membership,
    configuration,
  });
  const guard = createGuard({
    ...options,
    ...parts,
    transport: options.targetTransport,
    configuration,
    runAtMostOnce: parts.atMostOnce.run,
    downstreamShedLevel: createDownstreamShedLevel({ subsets, shedding, configuration }),
  });
  const gateway = createGateway({
    ...options,
    ...parts,
    transport: options.daemonTransport,
    router,
    retryBudget: new RetryBudget(clock),
    originOf: createCallOrigins({ clock, configuration, runningCalls: parts.runningCalls }),
  });
  return { guard, gateway };
}

function registerControl(methods: PeerMethods, parts: DaemonParts): void {
  const { membership, histograms, registry, status } = parts;
  serveDirectoryViews(methods, membership, parts.configuration.current);
  methods.register(ControlMethod.status, async () => status());
  methods.register(ControlMethod.members, async () => membership.members());
  methods.register(ControlMethod.histograms, async () => histograms.rows());
  methods.register(ControlMethod.drain, async () => {
    registry.drain();
    return membership.self();
  });
}

/** Makes the parts of a daemon; nothing runs until they are started. */
export function createDaemonParts(options: DaemonPartsOptions): DaemonParts {
  const { clock } = options;
  const fleet = createFleetParts(options);
  const { membership, configuration } = fleet;
  const admission = createAdmission({ clock, settings: initialAdmission });
  const atMostOnce = createAtMostOnceSlot({
    ...options,
    directory: membership,
    onClaims: (homes) => {
      membership.update({ homes }).catch(() => undefined);
    },
  });
  const early = {
    ...fleet,
    admission,
    atMostOnce,
    registry: createTargetRegistry({ clock }),
    runningCalls: createRunningCalls(),
    histograms: createHistograms(),
  };
  followTarget(early);
  const parts: DaemonParts = {
    ...early,
    ...createCallParts(options, early),
    status: () => ({
      self: membership.self(),
      revision: configuration.current()?.revision ?? 0,
      storeReachable: configuration.storeReachable(),
      load: admission.load(),
      members: membership.members().filter((member) => member.state !== 'gone').length,
    }),
  };
  registerControl(options.methods, parts);
  return parts;
}
