import type { Counters } from '../observability/counters.js';
import type { Logger } from '../observability/logger.js';
import type { Clock } from '../runtime/clock.js';
import type { TargetRun } from '../directory/targetRun.js';
import type { HopRequest } from './hopMessages.js';
import { digestOf } from './requestSuspicions.js';
import type { LostRequest, RequestSuspicions, SuspicionEvidence } from './requestSuspicions.js';

/** Time in which all requests of a target that ended lose their connections, in milliseconds. */
const BATCH_MS = 5;
/** Largest number of request ids in a log line. */
const MAX_LOGGED_IDS = 20;

/** A request whose connection to the target was lost while it ran. */
export interface LostAttempt {
  request: HopRequest;
  run: TargetRun;
  /** True if it ran as the only suspect. */
  wasAlone: boolean;
}

/** Options of `createTargetEnds`. */
export interface TargetEndsOptions {
  clock: Clock;
  logger: Logger;
  counters: Counters;
  suspicions: RequestSuspicions;
  /** Whether the target accepts connections. */
  isListening: () => Promise<boolean>;
  /** Tells evidence to the daemons beside the other targets of the service. */
  share: (evidence: SuspicionEvidence[]) => Promise<void>;
}

/** Tells the end of a target from the loss of a connection. */
export interface TargetEnds {
  /**
   * Records a lost attempt; resolves when the other daemons know about it if its target has ended,
   * so that the request can be sent to another one.
   */
  recordLoss(attempt: LostAttempt): Promise<void>;
}

/** Creates the recorder of the ends of the target beside a daemon. */
export function createTargetEnds(options: TargetEndsOptions): TargetEnds {
  const { clock, logger, counters, suspicions } = options;
  let lost: LostAttempt[] = [];
  let pending: Promise<void> | undefined;

  async function recordBatch(): Promise<void> {
    await clock.sleep(BATCH_MS);
    const batch = lost;
    lost = [];
    pending = undefined;
    // A target that still listens has lost connections, and has not ended.
    if (await options.isListening()) return;
    const { targetId, startedAt } = (batch[0] as LostAttempt).run;
    const requests = batch.map(({ request, wasAlone }): LostRequest => ({
      digest: digestOf(request),
      wasAlone,
    }));
    const evidence = suspicions.recordEnd(`${targetId} ${startedAt}`, requests);
    counters.increment('target_ends_total', '');
    const ids = batch.map(({ request }) => request.callerId);
    logger.log('warn', 'target ended under requests', {
      target: targetId,
      startedAt,
      requests: ids.slice(0, MAX_LOGGED_IDS).join(' '),
      count: ids.length,
      alone: batch.find(({ wasAlone }) => wasAlone)?.request.callerId,
    });
    await options.share(evidence);
  }

  return {
    recordLoss: (attempt) => {
      lost.push(attempt);
      pending ??= recordBatch();
      return pending;
    },
  };
}
