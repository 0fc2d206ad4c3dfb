import {
  AttemptRegistry,
  VOID_METHOD,
  createHopSender,
  createRequestGateway,
  createRequestGuard,
  createTargetEnds,
} from '@shallotcroft/core';
import type { KnownTarget, RequestGateway, RequestGuard, VoidParams } from '@shallotcroft/core';
import { createFleetSync } from './fleetSync.js';
import type { FleetSync } from './fleetSync.js';
import { createForwardingContext } from './forwardingContext.js';
import type { ForwardingContext, ForwardingOptions } from './forwardingContext.js';
import { createSuspicionSharing, isListening } from './suspicionSharing.js';
import type { SuspicionSharing } from './suspicionSharing.js';

/** Share of the local target's slots that is used; some targets slow down when nearly full. */
const USED_SLOT_SHARE = 0.95;

/** Components of a forwarding daemon, without its listeners. */
export interface ForwardingComponents extends ForwardingContext {
  fleetSync: FleetSync;
  guard: RequestGuard;
  suspicionSharing: SuspicionSharing;
  gateway: RequestGateway;
}

function createGuard(
  options: ForwardingOptions,
  context: ForwardingContext,
  suspicionSharing: SuspicionSharing,
): RequestGuard {
  const { state, methods, routing } = context;
  const attempts = new AttemptRegistry(options.clock);
  methods.register(VOID_METHOD, async (params) => {
    const { attemptId, incarnation } = params as VoidParams;
    return incarnation === state.incarnation ? attempts.void(attemptId) : 'unknown';
  });
  return createRequestGuard({
    ...context,
    clock: options.clock,
    logger: options.logger,
    transport: context.targetTransport,
    headerCodec: options.platform.headerCodec,
    attempts,
    targetEnds: createTargetEnds({
      ...options,
      ...context,
      isListening: () => isListening(options.settings.target, options.clock),
      share: (evidence) => suspicionSharing.share(evidence),
    }),
    endpoint: options.settings.target,
    incarnation: state.incarnation,
    isStopping: () => state.isStopping,
    configurationVersion: () => routing.version(),
  });
}

function createGateway(
  options: ForwardingOptions,
  context: ForwardingContext,
  guard: RequestGuard,
  fleetSync: FleetSync,
): RequestGateway {
  const { clock, random, logger } = options;
  const { state, hopClient, localHopPeer, peers } = context;
  return createRequestGateway({
    ...context,
    clock,
    random,
    logger,
    sender: createHopSender({ clock, client: hopClient, peers, guard, ownKey: state.ownKey }),
    localPeer: localHopPeer,
    stopWindow: () => state.stopWindow,
    onPeerVersion: (_version, { record }: KnownTarget) => {
      fleetSync.pullFromPeer(record.address, record.peerPort);
    },
  });
}

/** Sets the admission limits from what the local target reports, and announces its changes. */
function subscribeToTarget({
  state,
  target,
  notices,
  directory,
  admission,
  fleetSync,
}: ForwardingContext & { fleetSync: FleetSync }) {
  directory.onLeaving((key, run) => {
    if (key === state.ownKey) target.restore({ ...run, state: 'draining' });
  });
  notices.onChange(() => admission.setRateLimit(notices.rateLimit()?.requestsPerSecond));
  target.onChange(() => {
    const local = target.current();
    if (local) {
      const slots = Math.max(1, Math.floor(local.slots * USED_SLOT_SHARE));
      admission.reconfigure({ limit: 'fixed', slots, objective: 'goodput' });
    }
    fleetSync.announce();
  });
}

/** Creates the components of a forwarding daemon without starting them. */
export function createForwardingComponents(options: ForwardingOptions): ForwardingComponents {
  const context = createForwardingContext(options);
  const fleetSync = createFleetSync({ ...options, context });
  const suspicionSharing = createSuspicionSharing(options, context);
  const guard = createGuard(options, context, suspicionSharing);
  const gateway = createGateway(options, context, guard, fleetSync);
  subscribeToTarget({ ...context, fleetSync });
  context.routing.onChange(({ routes }) => {
    context.trees.keepRoutes(new Set(routes.map(({ name }) => name)));
  });
  return { ...context, fleetSync, guard, suspicionSharing, gateway };
}
