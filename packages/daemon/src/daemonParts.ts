import {
  ControlMethod,
  RetryBudget,
  createAdmission,
  createCallOrigins,
  createCallerShedding,
  createGateway,
  createGuard,
  createHistograms,
  createMembership,
  createRunningCalls,
  createTargetChooser,
  createTargetRegistry,
  createTargetRouter,
  serveDirectoryViews,
} from '@shallotcroft/core';
import type {
  AdmissionSettings,
  CallTransport,
  Clock,
  Configuration,
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
  TargetRegistry,
} from '@shallotcroft/core';
import type { Settings } from './settings.js';

/** What the parts of a daemon are made from. */
export interface DaemonPartsOptions {
  settings: Settings;
  /** Unique id of this run. */
  incarnation: string;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  transport: CallTransport;
  peers: PeerCaller;
  methods: PeerMethods;
}

/** The parts of a daemon, without listeners. */
export interface DaemonParts {
  gateway: Gateway;
  guard: Guard;
  registry: TargetRegistry;
  runningCalls: RunningCalls;
  histograms: Histograms;
  membership: Membership;
  status(): DaemonStatus;
}

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

/** In force until a configuration is known; without one no call is let in. */
const initialAdmission: AdmissionSettings = { limit: 'adaptive', slots: 1, objective: 'goodput' };

/** Makes the parts of a daemon; nothing runs until they are started. */
export function createDaemonParts(options: DaemonPartsOptions): DaemonParts {
  const { settings, clock, random, transport, incarnation, methods } = options;
  const self = memberOfSettings(settings, incarnation);
  let configurationInForce: Configuration | undefined;
  const configuration = (): Configuration | undefined => configurationInForce;
  const membership = createMembership({
    ...options,
    self,
    bootstrap: async () => settings.bootstrap,
  });
  const admission = createAdmission({ clock, settings: initialAdmission });
  const histograms = createHistograms();
  const runningCalls = createRunningCalls();
  const registry = createTargetRegistry({ clock });

  function reconfigureAdmission(): void {
    const service = registry.current()?.service ?? '';
    const policy = configurationInForce?.services[service];
    if (!policy || !configurationInForce) return;
    const { limit, slots } = policy;
    admission.reconfigure({ limit, slots, objective: configurationInForce.objective });
  }

  registry.onChange(() => {
    reconfigureAdmission();
    const service = registry.current()?.service ?? '';
    membership.update({ service, state: registry.state() }).catch(() => undefined);
  });
  const guard = createGuard({
    clock,
    transport,
    admission,
    registry,
    runningCalls,
    histograms,
    logger: options.logger,
    configuration,
    oneShot: (_policy, _context, work) => work(Infinity),
    incarnation,
  });
  const chooser = createTargetChooser({
    dataCentre: settings.dataCentre,
    random,
  });
  const gateway = createGateway({
    clock,
    random,
    transport,
    router: createTargetRouter({
      directory: membership,
      chooser,
      shedding: createCallerShedding(clock, random),
    }),
    retryBudget: new RetryBudget(clock),
    histograms,
    logger: options.logger,
    incarnation,
    originOf: createCallOrigins({
      clock,
      configuration,
      runningCalls,
      childKey: (parentKey) => parentKey,
    }),
  });
  const status = (): DaemonStatus => ({
    self: membership.self(),
    revision: configurationInForce?.revision ?? 0,
    storeReachable: undefined,
    load: admission.load(),
    members: membership.members().length,
  });

  methods.register('configuration.push', async (params) => {
    configurationInForce = params as Configuration;
    reconfigureAdmission();
    return configurationInForce.revision;
  });
  serveDirectoryViews(methods, membership, configuration);
  methods.register(ControlMethod.status, async () => status());
  methods.register(ControlMethod.members, async () => membership.members());
  methods.register(ControlMethod.histograms, async () => histograms.rows());
  methods.register(ControlMethod.drain, async () => {
    registry.drain();
    return status().self;
  });
  return { gateway, guard, registry, runningCalls, histograms, membership, status };
}
