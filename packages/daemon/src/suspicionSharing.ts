import { connect } from 'node:net';
import type { Clock, Endpoint, KnownTarget, SuspicionEvidence } from '@shallotcroft/core';
import * as z from 'zod';
import type { ForwardingContext, ForwardingOptions } from './forwardingContext.js';

/** Control method that tells evidence against requests to another daemon. */
export const SUSPICION_METHOD = 'requests.suspected';

/** Timeout of telling another daemon, in milliseconds; lost attempts wait for it. */
const SHARE_TIMEOUT_MS = 150;
/** Time after which a connection that is not established counts as such, in milliseconds. */
const PROBE_TIMEOUT_MS = 200;
const MAX_DIGEST_LENGTH = 64;
const MAX_RUN_LENGTH = 600;
const MAX_RUNS = 16;
const MAX_EVIDENCE = 2000;

const evidenceSchema = z.object({
  evidence: z
    .array(
      z.object({
        digest: z.string().max(MAX_DIGEST_LENGTH),
        runs: z.array(z.string().max(MAX_RUN_LENGTH)).max(MAX_RUNS),
        convictions: z.int().min(0),
      }),
    )
    .max(MAX_EVIDENCE),
});

/** Tells evidence against requests to the daemons beside the other targets of the service. */
export interface SuspicionSharing {
  /** Resolves when all of them have it or the timeout has passed. */
  share(evidence: SuspicionEvidence[]): Promise<void>;
  /** Tells the barred requests to daemons that have started since. */
  tellNewcomers(): void;
}

/** Creates the sharing of one daemon. */
export function createSuspicionSharing(
  { logger }: ForwardingOptions,
  context: ForwardingContext,
): SuspicionSharing {
  const { state, directory, peers, methods, suspicions, target } = context;
  let toldIncarnations = new Set<string>();

  methods.register(SUSPICION_METHOD, async (params) => {
    const parsed = evidenceSchema.safeParse(params);
    if (parsed.success) suspicions.merge(parsed.data.evidence);
    else logger.log('warn', 'invalid evidence of another daemon ignored');
    return parsed.success;
  });

  function neighbours(): KnownTarget[] {
    const service = target.current()?.service;
    if (service === undefined) return [];
    return directory.targetsOf(service).filter(({ key }) => key !== state.ownKey);
  }

  async function tell({ record }: KnownTarget, evidence: SuspicionEvidence[]): Promise<void> {
    const to = { address: record.address, port: record.peerPort };
    const told = await peers.call(to, SUSPICION_METHOD, { evidence }, SHARE_TIMEOUT_MS);
    if (told.isErr()) {
      logger.log('info', 'evidence not told', { peer: to.address, reason: told.error.message });
    }
  }

  return {
    share: async (evidence) => {
      await Promise.all(neighbours().map((neighbour) => tell(neighbour, evidence)));
    },
    tellNewcomers: () => {
      const known = neighbours();
      const barred = suspicions.barred();
      const newcomers = known.filter(({ record }) => !toldIncarnations.has(record.incarnation));
      toldIncarnations = new Set(known.map(({ record }) => record.incarnation));
      if (barred.length === 0) return;
      newcomers.forEach((newcomer) => {
        tell(newcomer, barred).catch(() => undefined);
      });
    },
  };
}

/** Whether an endpoint accepts connections; true as well if it cannot be told. */
export function isListening({ address, port }: Endpoint, clock: Clock): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host: address, port });
    const timer = clock.startTimer(PROBE_TIMEOUT_MS, () => socket.destroy());
    let isRefused = false;
    socket.once('connect', () => socket.destroy());
    socket.on('error', ({ code }: NodeJS.ErrnoException) => {
      isRefused = code === 'ECONNREFUSED';
    });
    socket.once('close', () => {
      timer.cancel();
      resolve(!isRefused);
    });
  });
}
