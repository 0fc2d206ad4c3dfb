import {
  ControlMethod,
  RetryBudget,
  createCallOrigins,
  createGateway,
  createGuard,
  createHistograms,
  createRunningCalls,
  createTargetChooser,
  createTargetRegistry,
  createTargetRouter,
  serveDirectoryViews,
} from '@shallotcroft/core';
import type {
  CallTransport,
  Clock,
  Configuration,
  DaemonStatus,
  Gateway,
  Guard,
  Histograms,
  Logger,
  Member,
  PeerCaller,
  PeerMethods,
  RandomSource,
  RunningCalls,
  TargetRegistry,
} from '@shallotcroft/core';
import { createOpenAdmission } from './provisionalAdmission.js';
import { ProvisionalMembership } from './provisionalMembership.js';
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
  membership: ProvisionalMembership;
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

/** Makes the parts of a daemon; nothing runs until they are started. */
export function createDaemonParts(options: DaemonPartsOptions): DaemonParts {
  const { settings, clock, random, transport, incarnation, methods } = options;
  const self = memberOfSettings(settings, incarnation);
  let configurationInForce: Configuration | undefined;
  const configuration = (): Configuration | undefined => configurationInForce;
  const membership = new ProvisionalMembership(self, { ...options, bootstrap: settings.bootstrap });
  const admission = createOpenAdmission();
  const histograms = createHistograms();
  const runningCalls = createRunningCalls();
  const registry: TargetRegistry = createTargetRegistry({
    clock,
    onChange: () => {
      membership.update({
        service: registry.current()?.service ?? '',
        state: registry.state(),
      });
    },
  });
  const guard = createGuard({
    clock,
    transport,
    admission,
    registry,
    runningCalls,
    histograms,
    configuration,
    oneShot: (_policy, _context, work) => work(Infinity),
    incarnation,
  });
  const chooser = createTargetChooser({
    dataCentre: settings.dataCentre,
    directory: membership,
    random,
  });
  const gateway = createGateway({
    clock,
    random,
    transport,
    router: createTargetRouter({ chooser }),
    retryBudget: new RetryBudget(clock),
    histograms,
    incarnation,
    originOf: createCallOrigins({
      clock,
      configuration,
      runningCalls,
      childKey: (parentKey) => parentKey,
    }),
  });
  const status = (): DaemonStatus => ({
    self: membership.memberOf(incarnation) ?? self,
    revision: configurationInForce?.revision ?? 0,
    storeReachable: undefined,
    load: admission.load(),
    members: membership.members().length,
  });

  methods.register('configuration.push', async (params) => {
    configurationInForce = params as Configuration;
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
