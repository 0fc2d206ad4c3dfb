import {
  AttemptRegistry,
  VOID_METHOD,
  createHopSender,
  createRequestGateway,
  createTargetGuard,
} from '@shallotcroft/core';
import type { KnownTarget, RequestGateway, TargetGuard, VoidParams } from '@shallotcroft/core';
import { createFleetSync } from './fleetSync.js';
import type { FleetSync } from './fleetSync.js';
import { createForwardingContext } from './forwardingContext.js';
import type { ForwardingContext, ForwardingOptions } from './forwardingContext.js';

/** Share of the slots that is used; some targets slow down when they are nearly full. */
const USED_SLOT_SHARE = 0.95;

/** The parts of a forwarding daemon, without listeners. */
export interface ForwardingParts extends ForwardingContext {
  fleetSync: FleetSync;
  guard: TargetGuard;
  gateway: RequestGateway;
}

function createGuardPart(options: ForwardingOptions, known: ForwardingContext): TargetGuard {
  const { state, methods, routing } = known;
  const attempts = new AttemptRegistry(options.clock);
  methods.register(VOID_METHOD, async (params) => {
    const { attemptId, incarnation } = params as VoidParams;
    return incarnation === state.incarnation ? attempts.void(attemptId) : 'unknown';
  });
  return createTargetGuard({
    ...known,
    clock: options.clock,
    logger: options.logger,
    transport: known.targetTransport,
    headerCodec: options.platform.headerCodec,
    attempts,
    endpoint: options.settings.target,
    incarnation: state.incarnation,
    isStopping: () => state.isStopping,
    configurationVersion: () => routing.version(),
  });
}

function createGatewayPart(
  options: ForwardingOptions,
  known: ForwardingContext,
  guard: TargetGuard,
  fleetSync: FleetSync,
): RequestGateway {
  const { clock, random, logger } = options;
  const { state, hopClient, hopEnd, peers } = known;
  return createRequestGateway({
    ...known,
    clock,
    random,
    logger,
    sender: createHopSender({ client: hopClient, peers, guard, ownKey: state.ownKey }),
    localPeer: hopEnd,
    isClosing: () => state.isClosing,
    onPeerVersion: (_version, { record }: KnownTarget) => {
      fleetSync.askPeer(record.address, record.peerPort);
    },
  });
}

/** Admits as much as the target beside this daemon takes, and tells the fleet how it is. */
function followTarget({
  target,
  admission,
  fleetSync,
}: ForwardingContext & { fleetSync: FleetSync }) {
  target.onChange(() => {
    const local = target.current();
    if (local) {
      const slots = Math.max(1, Math.floor(local.slots * USED_SLOT_SHARE));
      admission.reconfigure({ limit: 'fixed', slots, objective: 'goodput' });
    }
    fleetSync.announce();
  });
}

/** Makes the parts of a forwarding daemon; nothing runs until it is started. */
export function createForwardingParts(options: ForwardingOptions): ForwardingParts {
  const known = createForwardingContext(options);
  const fleetSync = createFleetSync({ ...options, known });
  const guard = createGuardPart(options, known);
  const gateway = createGatewayPart(options, known, guard, fleetSync);
  followTarget({ ...known, fleetSync });
  known.routing.onChange(({ routes }) => {
    known.trees.keepRoutes(new Set(routes.map(({ name }) => name)));
  });
  return { ...known, fleetSync, guard, gateway };
}
