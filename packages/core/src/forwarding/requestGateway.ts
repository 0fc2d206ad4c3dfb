import type { CallResponse } from '../calls/call.js';
import type { Importance } from '../configuration/configuration.js';
import type { Clock } from '../runtime/clock.js';
import { readClocks } from '../runtime/clockReading.js';
import type { ClockReading } from '../runtime/clockReading.js';
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
import { ResponseTimes } from './responseTimes.js';
import type { AttemptResult } from './requestProgress.js';
import type { CallTrees } from './callTrees.js';
import { retryAfterMs } from './retryAfter.js';

/** Largest number of hops of a request; a rejection by a daemon puts no load on its target. */
const MAX_HOPS = 8;
/** Largest number of hops of a request that is shed; more for a call tree that has begun. */
const MAX_SHED_HOPS = 2;
const MAX_CHILD_CALL_SHED_HOPS = 3;
/**
 * Share of the retry budget that requests of each importance may use. When a service rejects half
 * of its requests, call trees of several calls complete only if most of the budget goes to a few
 * of them.
 */
const RETRY_BUDGET_SHARES: Record<Importance, number> = {
  critical: 1,
  high: 0.5,
  normal: 0.2,
  low: 0.2,
};
/** `retry-after` while no configuration is known, in milliseconds. */
const NO_CONFIGURATION_RETRY_AFTER_MS = 500;
/** Least time until the deadline for another attempt, in milliseconds. */
const MIN_ATTEMPT_MS = 20;
const MS_PER_S = 1000;

/** When a stopping daemon stops taking requests, on the monotonic clock, in milliseconds. */
export interface StopWindow {
  /** Root requests are taken until then. */
  rootsUntil: number;
  /** Requests that are not answered by then are cut off. */
  endsAt: number;
}

/** Forwards requests of callers, and of the target on this host, to a target. */
export interface RequestGateway {
  /** Returns the complete response to a request. Never rejects. */
  forward(request: ForwardedRequest, signal: AbortSignal): Promise<CallResponse>;
  /** Number of requests in flight. */
  active(): number;
}

/** Options of `createRequestGateway`. */
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
  trees: CallTrees;
  sender: HopSender;
  retryBudget: RetryBudget;
  /** This daemon, as it identifies itself to other daemons. */
  localPeer: HopPeer;
  /** Set while the daemon stops. */
  stopWindow: () => StopWindow | undefined;
  /** Called when another daemon uses a newer configuration version. */
  onPeerVersion: (version: number, target: KnownTarget) => void;
}

/** Creates the gateway of one daemon. */
export function createRequestGateway(options: RequestGatewayOptions): RequestGateway {
  const { clock, placement, levels, sender, routing, logger } = options;
  let active = 0;
  let lastAttemptNumber = 0;
  const responseTimes = new ResponseTimes();

  function failureResponse(
    failure: Failure,
    waitMs: number | undefined,
    status = httpStatusOf(failure.code),
  ): CallResponse {
    const headers: CallResponse['headers'] = { 'content-type': 'application/json' };
    if (waitMs !== undefined) headers['retry-after'] = (waitMs / MS_PER_S).toFixed(3);
    return { status, headers, body: Buffer.from(JSON.stringify(failure)) };
  }

  function hopRequestOf(
    progress: RequestProgress,
    target: KnownTarget,
    remainingMs: number,
  ): HopRequest {
    const { request, route } = progress;
    lastAttemptNumber += 1;
    return {
      attemptId: attemptIdOf(options.localPeer, lastAttemptNumber),
      callerId: request.id,
      method: request.method,
      url: request.url,
      host: request.host,
      headers: request.headers,
      body: request.body,
      remainingMs,
      callerService: options.localPeer.service,
      importance: progress.importance,
      rootId: progress.rootId,
      isChildCall: progress.isChildCall,
      route: route.name,
      service: progress.service,
      incarnation: placement.incarnationOf(target),
      configurationVersion: routing.version(),
      peerPort: options.localPeer.peerPort,
      rateLimit: placement.rateLimitOfFormerIncarnation(target),
    };
  }

  function recordHopResponse(
    progress: RequestProgress,
    target: KnownTarget,
    hopResponse: HopResponse,
  ): void {
    placement.recordResponse(target, hopResponse);
    levels.recordLevel(progress.route.name, target.key, hopResponse.shedLevel);
    if (hopResponse.code === ResultCode.notRunDraining) placement.recordDraining(target);
    if (hopResponse.configurationVersion > routing.version()) {
      options.onPeerVersion(hopResponse.configurationVersion, target);
    }
  }

  /** Result of an attempt without a response: not run if the daemon beside the target voids it. */
  async function resolveLostAttempt(
    progress: RequestProgress,
    target: KnownTarget,
    hopRequest: HopRequest,
    sentAt: ClockReading,
    failure: Failure,
  ): Promise<AttemptResult> {
    const outcome = progress.signal.aborted
      ? 'unknown'
      : await sender.void(target, hopRequest, sentAt);
    logger.log('info', 'attempt lost', {
      request: progress.request.id,
      attempt: hopRequest.attemptId,
      target: target.record.targetId,
      reason: failure.message,
      void: outcome,
    });
    if (outcome === 'voided') {
      const message = `the attempt was lost and then voided: ${failure.message}`;
      return { code: ResultCode.notRunConnect, message, reached: false, response: undefined };
    }
    return { code: failure.code, message: failure.message, reached: true, response: undefined };
  }

  async function attempt(progress: RequestProgress, target: KnownTarget): Promise<AttemptResult> {
    const remainingMs = Math.floor(progress.deadlineAt - clock.now());
    const hopRequest = hopRequestOf(progress, target, remainingMs);
    const sentAt = readClocks(clock);
    placement.begin(target);
    const sent = await sender.send(target, hopRequest, progress.signal);
    placement.end(target);
    if (sent.isOk()) {
      const hopResponse = sent.value;
      recordHopResponse(progress, target, hopResponse);
      const response = hopResponse.code === ResultCode.ok ? hopResponse.response : undefined;
      return {
        code: hopResponse.code,
        message: hopResponse.message,
        reached: hopResponse.reached,
        response,
      };
    }
    const { code, message } = sent.error;
    if (isNotRun(code)) {
      if (code === ResultCode.notRunConnect) placement.recordUnreachable(target);
      return { code, message, reached: false, response: undefined };
    }
    if (code === ResultCode.unknownTimeout) {
      return { code, message, reached: true, response: undefined };
    }
    return resolveLostAttempt(progress, target, hopRequest, sentAt, sent.error);
  }

  /** Checks the route's attempt limit and takes a retry from the budget; false if none is left. */
  function tryRetry(progress: RequestProgress): boolean {
    if (progress.attempts >= progress.route.maxAttempts) return false;
    return options.retryBudget.tryRetry(progress.service, RETRY_BUDGET_SHARES[progress.importance]);
  }

  /** True when another target may be tried after `result`. */
  function shouldTryAnotherTarget(progress: RequestProgress, result: AttemptResult): boolean {
    if (progress.signal.aborted || progress.hops >= MAX_HOPS) return false;
    if (clock.now() + MIN_ATTEMPT_MS >= progress.deadlineAt) return false;
    if (result.code === ResultCode.notRunDeadline) return false;
    // Every daemon of the service knows about such a request.
    if (result.code === ResultCode.notRunBarred) return false;
    const isRepeatable = progress.route.execution === 'repeatable';
    if (result.response) {
      // Only the root call is repeated: otherwise each level of the call tree would repeat all work
      // downstream of it. A target that fails because its child calls were shed would fail again.
      const mayRepeat = isRepeatable && result.response.status >= 500 && !progress.isChildCall;
      return mayRepeat && levels.downstreamLevel(progress.route.name) === 0 && tryRetry(progress);
    }
    if (!isNotRun(result.code) && !isRepeatable) return false;
    if (result.code === ResultCode.notRunShed || result.code === ResultCode.notRunQueueTimeout) {
      // Overload rarely affects only one target: trying all of them would add to it.
      return progress.hops < (progress.isChildCall ? MAX_CHILD_CALL_SHED_HOPS : MAX_SHED_HOPS);
    }
    return !result.reached || tryRetry(progress);
  }

  /** Chooses a target. Root calls avoid targets that would shed them; child calls do not. */
  function chooseTarget(progress: RequestProgress): KnownTarget | undefined {
    const { service, triedTargets, route, priority, isChildCall } = progress;
    return placement.choose(
      service,
      triedTargets,
      (key) => !isChildCall && levels.shouldShed(route.name, key, priority),
    );
  }

  function noTargetResult(progress: RequestProgress): AttemptResult {
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

  /** Result of the last attempt, or, if it has no response, of the latest one that has. */
  async function makeAttempts(progress: RequestProgress): Promise<AttemptResult> {
    let lastResult = noTargetResult(progress);
    let lastWithResponse: AttemptResult | undefined;
    for (;;) {
      let target = chooseTarget(progress);
      if (!target && lastResult.reached && isNotRun(lastResult.code)) {
        progress.startAnotherRound();
        target = chooseTarget(progress);
      }
      if (!target) return lastWithResponse ?? lastResult;
      progress.recordHop(target.key);
      lastResult = await attempt(progress, target);
      progress.recordResult(lastResult);
      if (lastResult.response) lastWithResponse = lastResult;
      if (lastResult.response && lastResult.response.status < 500) return lastResult;
      if (!shouldTryAnotherTarget(progress, lastResult)) return lastWithResponse ?? lastResult;
    }
  }

  /** Time after which the caller of a request that was not run should retry it, in milliseconds. */
  function waitMsOf({ deadlineAt, route }: RequestProgress): number {
    return retryAfterMs(deadlineAt - clock.now(), route.rank, options.random);
  }

  /** Response to the caller; failures that are certainly not run carry a `retry-after` header. */
  function responseOf(progress: RequestProgress, result: AttemptResult): CallResponse {
    if (result.response) return result.response;
    const failure = createFailure(result.code, result.message);
    if (!isNotRun(result.code) || progress.mayHaveRun) {
      const status = result.code === ResultCode.unknownTimeout ? 504 : 502;
      return failureResponse(failure, undefined, status);
    }
    // A barred request is not better off later.
    const waitMs = result.code === ResultCode.notRunBarred ? undefined : waitMsOf(progress);
    return failureResponse(failure, waitMs, 503);
  }

  function logResult(progress: RequestProgress, result: AttemptResult, status: number): void {
    const isRoutine = result.code === ResultCode.ok && status < 500 && progress.hops === 1;
    logger.log(isRoutine ? 'debug' : 'info', 'request ended', {
      request: progress.request.id,
      route: progress.route.name,
      service: progress.service,
      configuration: routing.version(),
      code: result.code,
      reason: result.message,
      status,
      hops: progress.hops,
      attempts: progress.attempts,
      tookMs: Math.round(clock.now() - progress.arrivedAt),
    });
  }

  async function forwardToTarget(progress: RequestProgress): Promise<CallResponse> {
    const { service, arrivedAt, route } = progress;
    options.retryBudget.recordCall(service);
    const result = await makeAttempts(progress);
    if (progress.isChildCall) {
      options.failures.record(route.name, progress.importance, isNotRun(result.code));
    }
    if (result.response) responseTimes.record(route.name, clock.now() - arrivedAt);
    const response = responseOf(progress, result);
    options.histograms.record({
      importance: progress.importance,
      caller: route.name,
      latencyMs: clock.now() - arrivedAt,
      attempts: progress.attempts,
    });
    options.counters.increment('requests_total', String(response.status));
    options.counters.increment('request_ends_total', String(result.code));
    logResult(progress, result, response.status);
    return response;
  }

  function reject(request: ForwardedRequest, failure: Failure, waitMs?: number): CallResponse {
    logger.log('info', 'request rejected', {
      request: request.id,
      host: request.host,
      url: request.url,
      configuration: routing.version(),
      code: failure.code,
      reason: failure.message,
    });
    const response = failureResponse(failure, waitMs);
    options.counters.increment('requests_total', String(response.status));
    return response;
  }

  /** True if a stopping daemon is expected to answer a request before it ends. */
  function isTakenWhileStopping(
    { rootsUntil, endsAt }: StopWindow,
    { route, isChildCall, deadlineAt }: RequestProgress,
  ): boolean {
    const now = clock.now();
    if (!isChildCall && now >= rootsUntil) return false;
    const highMs = responseTimes.highOf(route.name) ?? Infinity;
    return Math.min(now + highMs, deadlineAt) <= endsAt;
  }

  async function admit(request: ForwardedRequest, signal: AbortSignal): Promise<CallResponse> {
    if (!routing.current()) {
      const failure = createFailure(ResultCode.notRunNoTarget, 'no configuration is known yet');
      return reject(request, failure, NO_CONFIGURATION_RETRY_AFTER_MS);
    }
    if (request.id === '') {
      return reject(request, createFailure(ResultCode.badHeader, 'the request has no id'));
    }
    const path = request.url.split('?', 1)[0] as string;
    const route = routing.match(request.host, path);
    if (!route) {
      const message = `no route for ${request.host}${path}`;
      return reject(request, createFailure(ResultCode.badUnknownCall, message));
    }
    const service = routing.serviceFor(route);
    if (service === undefined) {
      const message = `route ${route.name} has no service with a positive weight`;
      return reject(request, createFailure(ResultCode.notRunNoTarget, message));
    }
    const tree = options.trees.recordChildCall(request.parentId, route.name);
    const progress = new RequestProgress(request, route, service, signal, clock.now(), tree);
    const window = options.stopWindow();
    if (window && !isTakenWhileStopping(window, progress)) {
      const failure = createFailure(
        ResultCode.notRunDraining,
        'the daemon is stopping; retry the request',
      );
      // Callers of this host reach no other daemon: they return when this one may have restarted.
      return reject(request, failure, waitMsOf(progress));
    }
    return forwardToTarget(progress);
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
