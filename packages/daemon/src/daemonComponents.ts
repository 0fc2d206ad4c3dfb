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
import { createDeferredAtMostOnce } from './deferredAtMostOnce.js';
import type { DeferredAtMostOnce } from './deferredAtMostOnce.js';

/** Options of `createDaemonComponents`. */
export interface DaemonComponentsOptions {
  settings: Settings;
  /** Unique id of this daemon process. */
  incarnation: string;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Sends calls to the daemons of other targets. */
  daemonTransport: CallTransport;
  /** Sends calls to the local target. */
  targetTransport: CallTransport;
  peers: PeerCaller;
  methods: PeerMethods;
  /** Absent when the settings name no store. */
  store?: Store;
  /** Called when another incarnation has replaced this one. */
  onDisplaced?: () => void;
}

/** Components of a daemon, without its listeners. */
export interface DaemonComponents {
  gateway: Gateway;
  guard: Guard;
  admission: Admission;
  registry: TargetRegistry;
  runningCalls: RunningCalls;
  histograms: Histograms;
  membership: Membership;
  configuration: ConfigurationManager;
  /** Undefined when the settings name no store. */
  bootstrap: BootstrapManager | undefined;
  atMostOnce: DeferredAtMostOnce;
  status(): DaemonStatus;
}

/** Used until a configuration is loaded; until then the daemon announces no target. */
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

/** Creates membership, configuration and bootstrap. */
function createFleetComponents(options: DaemonComponentsOptions) {
  const { settings, clock, store } = options;
  let manager: ConfigurationManager | undefined;
  const membership: Membership = createMembership({
    ...options,
    self: memberOfSettings(settings, options.incarnation),
    bootstrap: () => readBootstrapAddresses(store, settings.bootstrap, clock),
    connected: () => {
      const receivers = connectedMembers(membership.self(), membership, manager?.current());
      return receivers.map(peerAddressOf);
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

/**
 * Updates the announced member, the admission limits and the at-most-once executor whenever the
 * local target or the configuration changes; all three depend on both.
 */
function subscribeToUpdates(
  components: Omit<DaemonComponents, 'guard' | 'gateway' | 'status'>,
): void {
  const { registry, configuration, admission, membership, atMostOnce } = components;

  /** A daemon whose target is gone waits for the next one, unless it is draining itself. */
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
    atMostOnce.start({ self: membership.self(), service, shards });
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

/** Creates the gateway and the guard, which handle calls. */
function createCallComponents(
  options: DaemonComponentsOptions,
  components: Omit<DaemonComponents, 'guard' | 'gateway' | 'status'>,
): Pick<DaemonComponents, 'guard' | 'gateway'> {
  const { settings, clock } = options;
  const { membership } = components;
  const configuration = components.configuration.current;
  const { subsets, shedding, router } = createCallRouting({
    ...options,
    caller: settings,
    directory: membership,
    configuration,
  });
  const guard = createGuard({
    ...options,
    ...components,
    transport: options.targetTransport,
    configuration,
    runAtMostOnce: components.atMostOnce.run,
    downstreamShedLevel: createDownstreamShedLevel({ subsets, shedding, configuration }),
  });
  const gateway = createGateway({
    ...options,
    ...components,
    transport: options.daemonTransport,
    router,
    retryBudget: new RetryBudget(clock),
    originOf: createCallOrigins({ clock, configuration, runningCalls: components.runningCalls }),
  });
  return { guard, gateway };
}

function registerControlMethods(methods: PeerMethods, components: DaemonComponents): void {
  const { membership, histograms, registry, status } = components;
  serveDirectoryViews(methods, membership, components.configuration.current);
  methods.register(ControlMethod.status, async () => status());
  methods.register(ControlMethod.members, async () => membership.members());
  methods.register(ControlMethod.histograms, async () => histograms.rows());
  methods.register(ControlMethod.drain, async () => {
    registry.drain();
    return membership.self();
  });
}

/** Creates the components of a daemon without starting them. */
export function createDaemonComponents(options: DaemonComponentsOptions): DaemonComponents {
  const { clock } = options;
  const fleet = createFleetComponents(options);
  const { membership, configuration } = fleet;
  const admission = createAdmission({ clock, settings: initialAdmission });
  const atMostOnce = createDeferredAtMostOnce({
    ...options,
    directory: membership,
    onClaims: (homes) => {
      membership.update({ homes }).catch(() => undefined);
    },
  });
  const baseComponents = {
    ...fleet,
    admission,
    atMostOnce,
    registry: createTargetRegistry({ clock }),
    runningCalls: createRunningCalls(),
    histograms: createHistograms(),
  };
  subscribeToUpdates(baseComponents);
  const components: DaemonComponents = {
    ...baseComponents,
    ...createCallComponents(options, baseComponents),
    status: () => ({
      self: membership.self(),
      revision: configuration.current()?.revision ?? 0,
      storeReachable: configuration.isStoreReachable(),
      load: admission.load(),
      members: membership.members().filter((member) => member.state !== 'gone').length,
    }),
  };
  registerControlMethods(options.methods, components);
  return components;
}
