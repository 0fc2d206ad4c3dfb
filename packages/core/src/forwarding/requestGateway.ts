import type { CallResponse } from '../calls/call.js';
import type { Importance } from '../configuration/configuration.js';
import type { Clock } from '../runtime/clock.js';
import type { Counters } from '../observability/counters.js';
import type { KnownTarget } from '../directory/targetDirectory.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import type { Histograms } from '../observability/histograms.js';
import type { Logger } from '../observability/logger.js';
import type { TargetPlacement } from '../placement/targetPlacement.js';
import type { RandomSource } from '../runtime/random.js';
import { ResultCode, httpStatusOf, isNotRun } from '../runtime/resultCode.js';
import type { RetryBudget } from '../attempts/retryBudget.js';
import type { ChildCallFailures } from '../placement/childCallFailures.js';
import type { RouteShedLevels } from '../placement/routeShedLevels.js';
import type { RoutingManager } from '../routes/routingManager.js';
import type { ForwardedRequest } from './forwardedRequest.js';
import { attemptIdOf } from './hopMessages.js';
import type { HopResponse, HopPeer, HopRequest } from './hopMessages.js';
import type { HopSender } from './hopSender.js';
import { RequestProgress } from './requestProgress.js';
import type { AttemptResult } from './requestProgress.js';
import type { RequestTrees } from './requestTrees.js';
import { retryAfterMs } from './retryAfter.js';

/** Daemons that may be asked for one request; refusals by a daemon cost its target nothing. */
const MAX_HOPS = 8;
/** Daemons that are asked when they shed the request; more for a tree that has begun. */
const MAX_SHED_HOPS = 2;
const MAX_INNER_SHED_HOPS = 3;
/**
 * Part of the retry budget that requests of each importance may use. A service that refuses half
 * of what comes serves trees of several calls only where most of the budget goes to few of them.
 */
const RETRY_SHARES: Record<Importance, number> = { critical: 1, high: 0.5, normal: 0.2, low: 0.2 };
/** Wait that a daemon without a configuration tells its callers, in milliseconds. */
const NO_CONFIGURATION_RETRY_MS = 500;
/** Wait that a closing daemon tells its callers, in milliseconds; another one answers. */
const CLOSING_RETRY_MS = 50;
/** A further attempt needs at least this much time, in milliseconds. */
const MIN_ATTEMPT_MS = 20;
const MS_PER_S = 1000;

/** Takes in requests of callers and of the target on this host, and has a target run them. */
export interface RequestGateway {
  /** One whole answer. Never rejects. */
  forward(request: ForwardedRequest, signal: AbortSignal): Promise<CallResponse>;
  /** Requests under way. */
  active(): number;
}

/** What a gateway needs. */
export interface RequestGatewayOptions {
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  histograms: Histograms;
  counters: Counters;
  routing: RoutingManager;
  placement: TargetPlacement;
  levels: RouteShedLevels;
  failures: ChildCallFailures;
  trees: RequestTrees;
  sender: HopSender;
  retryBudget: RetryBudget;
  /** What requests to other daemons tell of this one. */
  own: HopPeer;
  /** True once nothing new is begun; calls of trees that have begun go on. */
  isClosing: () => boolean;
  /** Called with the version that another daemon has in force. */
  onPeerVersion: (version: number, target: KnownTarget) => void;
}

/** Makes a gateway. */
export function createRequestGateway(options: RequestGatewayOptions): RequestGateway {
  const { clock, placement, levels, sender, routing, logger } = options;
  let active = 0;
  let lastAttempt = 0;

  function failureAnswer(
    failure: Failure,
    retryMs: number | undefined,
    status = httpStatusOf(failure.code),
  ): CallResponse {
    const headers: CallResponse['headers'] = { 'content-type': 'application/json' };
    if (retryMs !== undefined) headers['retry-after'] = (retryMs / MS_PER_S).toFixed(3);
    return { status, headers, body: Buffer.from(JSON.stringify(failure)) };
  }

  function hopRequestOf(
    progress: RequestProgress,
    target: KnownTarget,
    remainingMs: number,
  ): HopRequest {
    const { request, route } = progress;
    lastAttempt += 1;
    return {
      attemptId: attemptIdOf(options.own, lastAttempt),
      callerId: request.id,
      method: request.method,
      url: request.url,
      host: request.host,
      headers: request.headers,
      body: request.body,
      remainingMs,
      callerService: options.own.service,
      importance: progress.importance,
      rootId: progress.rootId,
      isChildCall: progress.isChildCall,
      route: route.name,
      service: progress.service,
      incarnation: placement.incarnationOf(target),
      configurationVersion: routing.version(),
      peerPort: options.own.peerPort,
    };
  }

  function noteHop(progress: RequestProgress, target: KnownTarget, hop: HopResponse): void {
    placement.recordResponse(target, hop);
    levels.recordLevel(progress.route.name, target.key, hop.shedLevel);
    if (hop.code === ResultCode.notRunDraining) placement.recordDraining(target);
    if (hop.configurationVersion > routing.version()) {
      options.onPeerVersion(hop.configurationVersion, target);
    }
  }

  /** A lost attempt is not run if the daemon beside the target can promise never to begin it. */
  async function settleLost(
    progress: RequestProgress,
    target: KnownTarget,
    hopRequest: HopRequest,
    failure: Failure,
  ): Promise<AttemptResult> {
    const outcome = progress.signal.aborted ? 'unknown' : await sender.void(target, hopRequest);
    logger.log('info', 'attempt was lost', {
      request: progress.request.id,
      attempt: hopRequest.attemptId,
      target: target.record.targetId,
      reason: failure.message,
      void: outcome,
    });
    if (outcome === 'voided') {
      const message = `the attempt was lost and voided: ${failure.message}`;
      return { code: ResultCode.notRunConnect, message, reached: false, response: undefined };
    }
    return { code: failure.code, message: failure.message, reached: true, response: undefined };
  }

  async function attempt(progress: RequestProgress, target: KnownTarget): Promise<AttemptResult> {
    const remainingMs = Math.floor(progress.deadlineAt - clock.now());
    const hopRequest = hopRequestOf(progress, target, remainingMs);
    placement.begin(target);
    const sent = await sender.send(target, hopRequest, progress.signal);
    placement.end(target);
    if (sent.isOk()) {
      const hop = sent.value;
      noteHop(progress, target, hop);
      const response = hop.code === ResultCode.ok ? hop.response : undefined;
      return { code: hop.code, message: hop.message, reached: hop.reached, response };
    }
    const { code, message } = sent.error;
    if (isNotRun(code)) {
      if (code === ResultCode.notRunConnect) placement.recordUnreachable(target);
      return { code, message, reached: false, response: undefined };
    }
    if (code === ResultCode.unknownTimeout) {
      return { code, message, reached: true, response: undefined };
    }
    return settleLost(progress, target, hopRequest, sent.error);
  }

  /** Sending to a second target costs a further attempt and a share of the budget. */
  function takeRepeat(progress: RequestProgress): boolean {
    if (progress.attempts >= progress.route.maxAttempts) return false;
    return options.retryBudget.tryRetry(progress.service, RETRY_SHARES[progress.importance]);
  }

  /** True when another target may be tried after this end. */
  function mayGoOn(progress: RequestProgress, end: AttemptResult): boolean {
    if (progress.signal.aborted || progress.hops >= MAX_HOPS) return false;
    if (clock.now() + MIN_ATTEMPT_MS >= progress.deadlineAt) return false;
    if (end.code === ResultCode.notRunDeadline) return false;
    const repeatable = progress.route.execution === 'repeatable';
    if (end.response) {
      // A tree is repeated at its root only, or each level would repeat the work of all below it;
      // and a target that fails because its calls were shed fails again.
      const isRepeated = repeatable && end.response.status >= 500 && !progress.isChildCall;
      return (
        isRepeated && levels.downstreamLevel(progress.route.name) === 0 && takeRepeat(progress)
      );
    }
    if (!isNotRun(end.code) && !repeatable) return false;
    if (end.code === ResultCode.notRunShed || end.code === ResultCode.notRunQueueTimeout) {
      // Overload is seldom that of one target: asking them all would add to it.
      return progress.hops < (progress.isChildCall ? MAX_INNER_SHED_HOPS : MAX_SHED_HOPS);
    }
    return !end.reached || takeRepeat(progress);
  }

  /** Requests at the root are sent only where they would not be shed; calls below one always. */
  function chooseTarget(progress: RequestProgress): KnownTarget | undefined {
    const { service, tried, route, priority, isChildCall } = progress;
    return placement.choose(
      service,
      tried,
      (key) => !isChildCall && levels.shouldShed(route.name, key, priority),
    );
  }

  function whyNoTarget(progress: RequestProgress): AttemptResult {
    const isKnown = placement.hasReadyTarget(progress.service);
    return {
      code: isKnown ? ResultCode.notRunShed : ResultCode.notRunNoTarget,
      message: isKnown
        ? `every target of ${progress.service} sheds ${progress.importance} requests`
        : `no target of ${progress.service} is known`,
      reached: false,
      response: undefined,
    };
  }

  /** The end of the last attempt, or a target's answer to an earlier one where that got none. */
  async function makeAttempts(progress: RequestProgress): Promise<AttemptResult> {
    let last = whyNoTarget(progress);
    let answered: AttemptResult | undefined;
    for (;;) {
      let target = chooseTarget(progress);
      if (!target && last.reached && isNotRun(last.code)) {
        progress.startAnotherRound();
        target = chooseTarget(progress);
      }
      if (!target) return answered ?? last;
      progress.recordHop(target.key);
      last = await attempt(progress, target);
      progress.recordEnd(last);
      if (last.response) answered = last;
      if (last.response && last.response.status < 500) return last;
      if (!mayGoOn(progress, last)) return answered ?? last;
    }
  }

  function answerOf(progress: RequestProgress, end: AttemptResult): CallResponse {
    if (end.response) return end.response;
    const failure = createFailure(end.code, end.message);
    if (!isNotRun(end.code) || progress.mayHaveRun) {
      const status = end.code === ResultCode.unknownTimeout ? 504 : 502;
      return failureAnswer(failure, undefined, status);
    }
    const remainingMs = progress.deadlineAt - clock.now();
    const retryMs = retryAfterMs(remainingMs, progress.route.rank, options.random);
    return failureAnswer(failure, retryMs, 503);
  }

  function logEnd(progress: RequestProgress, end: AttemptResult, status: number): void {
    const isPlain = end.code === ResultCode.ok && status < 500 && progress.hops === 1;
    logger.log(isPlain ? 'debug' : 'info', 'request ended', {
      request: progress.request.id,
      route: progress.route.name,
      service: progress.service,
      configuration: routing.version(),
      code: end.code,
      reason: end.message,
      status,
      hops: progress.hops,
      attempts: progress.attempts,
      tookMs: Math.round(clock.now() - progress.arrivedAt),
    });
  }

  async function pass(progress: RequestProgress): Promise<CallResponse> {
    const { service, arrivedAt, route } = progress;
    options.retryBudget.recordCall(service);
    const end = await makeAttempts(progress);
    if (progress.isChildCall) {
      options.failures.record(route.name, progress.importance, isNotRun(end.code));
    }
    const response = answerOf(progress, end);
    options.histograms.record({
      importance: progress.importance,
      caller: route.name,
      latencyMs: clock.now() - arrivedAt,
      attempts: progress.attempts,
    });
    options.counters.increment('requests_total', String(response.status));
    options.counters.increment('request_ends_total', String(end.code));
    logEnd(progress, end, response.status);
    return response;
  }

  function refuse(request: ForwardedRequest, failure: Failure, retryMs?: number): CallResponse {
    logger.log('info', 'request refused', {
      request: request.id,
      host: request.host,
      url: request.url,
      configuration: routing.version(),
      code: failure.code,
      reason: failure.message,
    });
    const response = failureAnswer(failure, retryMs);
    options.counters.increment('requests_total', String(response.status));
    return response;
  }

  async function admit(request: ForwardedRequest, signal: AbortSignal): Promise<CallResponse> {
    if (!routing.current()) {
      const failure = createFailure(ResultCode.notRunNoTarget, 'no configuration is known yet');
      return refuse(request, failure, NO_CONFIGURATION_RETRY_MS);
    }
    if (request.id === '') {
      return refuse(request, createFailure(ResultCode.badHeader, 'the request carries no id'));
    }
    const path = request.url.split('?', 1)[0] as string;
    const found = routing.match(request.host, path);
    if (!found) {
      const message = `no route for ${request.host}${path}`;
      return refuse(request, createFailure(ResultCode.badUnknownCall, message));
    }
    const service = routing.serviceFor(found);
    if (service === undefined) {
      const message = `route ${found.name} has no service with weight`;
      return refuse(request, createFailure(ResultCode.notRunNoTarget, message));
    }
    const tree = options.trees.join(request.parentId, found.name);
    if (!tree && options.isClosing()) {
      const failure = createFailure(ResultCode.notRunDraining, 'the daemon stops; send it again');
      return refuse(request, failure, CLOSING_RETRY_MS);
    }
    return pass(new RequestProgress(request, found, service, signal, clock.now(), tree));
  }

  return {
    forward: async (request, signal) => {
      active += 1;
      try {
        return await admit(request, signal);
      } finally {
        active -= 1;
      }
    },
    active: () => active,
  };
}
