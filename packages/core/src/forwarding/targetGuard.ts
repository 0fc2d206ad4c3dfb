import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Admission, Outcome } from '../admission/admission.js';
import type { CallResponse, CallTransport, Endpoint } from '../calls/call.js';
import type { Clock } from '../runtime/clock.js';
import type { Counters } from '../observability/counters.js';
import type { LocalTarget } from '../directory/localTarget.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import type { Histograms } from '../observability/histograms.js';
import type { Logger } from '../observability/logger.js';
import { ResultCode } from '../runtime/resultCode.js';
import type { RouteShedLevels } from '../placement/routeShedLevels.js';
import type { AttemptRegistry } from './attemptRegistry.js';
import type { HeaderCodec } from './forwardedRequest.js';
import type { HopResponse, HopRequest, TargetLoad } from './hopMessages.js';
import type { RequestTrees } from './requestTrees.js';

/** Weight of the newest sample in the mean time at the target. */
const SERVICE_MEAN_WEIGHT = 0.05;
/** Routes whose mean time is kept. */
const MAX_ROUTES = 2000;
/** Share of its route's mean time below which a request has too little time left to begin. */
const USEFUL_TIME_SHARE = 0.5;
/** Mean time at the target before the first sample, in milliseconds. */
const INITIAL_SERVICE_MS = 50;
/** Answers larger than this are not held, in bytes. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

const noAnswer: CallResponse = { status: 503, headers: {}, body: Buffer.alloc(0) };

/** Lets requests of other daemons in to the target beside this one. */
export interface TargetGuard {
  /** The target's answer, or why there is none. Never rejects. */
  handle(request: HopRequest, signal: AbortSignal): Promise<HopResponse>;
  /** Requests that are here: waiting or at the target. */
  active(): number;
  load(): TargetLoad;
}

/** What a guard needs. */
export interface TargetGuardOptions {
  clock: Clock;
  logger: Logger;
  transport: CallTransport;
  headerCodec: HeaderCodec;
  admission: Admission;
  attempts: AttemptRegistry;
  target: LocalTarget;
  trees: RequestTrees;
  levels: RouteShedLevels;
  histograms: Histograms;
  counters: Counters;
  /** Where the target listens. */
  endpoint: Endpoint;
  /** Id of this run of the daemon. */
  incarnation: string;
  /** True once this daemon takes no more requests for its target. */
  isStopping: () => boolean;
  configurationVersion: () => number;
}

interface TargetOutcome {
  result: Result<CallResponse, Failure>;
  reached: boolean;
}

function failed(code: Failure['code'], message: string): Result<never, Failure> {
  return Err(createFailure(code, message));
}

function outcomeOf(result: Result<CallResponse, Failure>, signal: AbortSignal): Outcome {
  if (result.isOk()) return 'completed';
  if (signal.aborted) return 'cancelled';
  return result.error.code === ResultCode.notRunTargetRefused ? 'targetRefused' : 'failed';
}

/** Makes the guard of the target beside this daemon. */
export function createTargetGuard(options: TargetGuardOptions): TargetGuard {
  const { clock, admission, headerCodec, attempts, target, logger } = options;
  let active = 0;
  let serviceMs = INITIAL_SERVICE_MS;
  /** Mean time at the target by route, in milliseconds. */
  const routeMs = new Map<string, number>();

  function load(): TargetLoad {
    return { ...admission.load(), serviceMs };
  }

  /** Why this daemon cannot take the request at all. */
  function refusalOf(request: HopRequest): Result<never, Failure> | undefined {
    if (request.incarnation !== options.incarnation) {
      return failed(ResultCode.notRunNoTarget, 'the daemon was started again since');
    }
    const local = target.current();
    if (local?.service !== request.service || !target.isReady()) {
      const state = local ? `${local.service} ${local.state}` : 'not known yet';
      const code = local ? ResultCode.notRunDraining : ResultCode.notRunNoTarget;
      return failed(code, `the target beside this daemon is ${state}`);
    }
    if (options.isStopping()) return failed(ResultCode.notRunDraining, 'the daemon stops');
    return undefined;
  }

  function judge(response: CallResponse): Result<CallResponse, Failure> {
    const verdict = headerCodec.verdictOf(response.status, response.headers);
    if (verdict === 'executed') return Ok(response);
    if (verdict === 'damaged') {
      return failed(ResultCode.unknownAnswerTruncated, 'the answer is not one of the target');
    }
    const why = verdict === 'wrongInstance' ? 'another target has the address' : 'it is full';
    return failed(ResultCode.notRunTargetRefused, `the target did not run the request: ${why}`);
  }

  async function send(
    request: HopRequest,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<TargetOutcome> {
    const remainingMs = Math.floor(deadlineAt - clock.now());
    const local = target.current();
    if (remainingMs <= 0 || !local) {
      const result = failed(ResultCode.notRunDeadline, 'no time was left');
      return { result, reached: false };
    }
    const envelope = {
      id: request.callerId,
      host: request.host,
      remainingMs,
      callerService: request.callerService,
      targetId: local.targetId,
    };
    const startedAt = clock.now();
    const sent = await options.transport.send(
      options.endpoint,
      request.url,
      {
        call: request.service,
        method: request.method,
        id: request.callerId,
        headers: { ...request.headers, ...headerCodec.headersForTarget(envelope) },
        body: request.body,
      },
      { timeoutMs: remainingMs, maxResponseBytes: MAX_ANSWER_BYTES, signal },
    );
    const reached = sent.isOk() || sent.error.code >= ResultCode.unknownTimeout;
    if (sent.isErr()) return { result: sent, reached };
    const tookMs = clock.now() - startedAt;
    serviceMs += SERVICE_MEAN_WEIGHT * (tookMs - serviceMs);
    // Routes come and go with configurations.
    if (routeMs.size > MAX_ROUTES) routeMs.clear();
    const mean = routeMs.get(request.route) ?? tookMs;
    routeMs.set(request.route, mean + SERVICE_MEAN_WEIGHT * (tookMs - mean));
    return { result: judge(sent.value), reached };
  }

  async function admit(request: HopRequest, signal: AbortSignal): Promise<TargetOutcome> {
    const refusal = refusalOf(request);
    if (refusal) return { result: refusal, reached: false };
    const deadlineAt = clock.now() + request.remainingMs;
    if (!attempts.arrive(request.attemptId, deadlineAt)) {
      const result = failed(ResultCode.notRunCancelled, 'the attempt was voided before it came');
      return { result, reached: false };
    }
    const permit = await admission.enter({
      importance: request.importance,
      caller: request.rootId,
      deadlineAt,
      signal,
      isChildCall: request.isChildCall,
      minRemainingMs: USEFUL_TIME_SHARE * (routeMs.get(request.route) ?? 0),
      downstreamShedLevel: () =>
        request.isChildCall ? 0 : options.levels.downstreamLevel(request.route),
    });
    if (permit.isErr()) {
      attempts.void(request.attemptId);
      return { result: permit, reached: false };
    }
    // The target may have begun to leave, and the caller to void the attempt, while it waited.
    const late = refusalOf(request);
    if (late || !attempts.begin(request.attemptId)) {
      permit.value.release('cancelled');
      const result = late ?? failed(ResultCode.notRunCancelled, 'the attempt was voided');
      return { result, reached: false };
    }
    options.histograms.record({
      importance: request.importance,
      caller: request.callerService,
      queueTimeMs: permit.value.waitedMs,
      concurrency: admission.load().inFlight,
    });
    options.trees.begin(request.callerId, request);
    const outcome = await send(request, deadlineAt, signal);
    options.trees.end(request.callerId);
    permit.value.release(outcomeOf(outcome.result, signal));
    return outcome;
  }

  function answerOf(request: HopRequest, outcome: TargetOutcome): HopResponse {
    const { result, reached } = outcome;
    const failure = result.isErr() ? result.error : undefined;
    options.counters.increment('target_attempts_total', String(failure?.code ?? ResultCode.ok));
    if (failure) {
      logger.log('info', 'target did not answer', {
        request: request.callerId,
        attempt: request.attemptId,
        service: request.service,
        target: target.current()?.targetId,
        targetState: target.current()?.state,
        code: failure.code,
        reason: failure.message,
        reached,
        remainingMs: request.remainingMs,
        inFlight: admission.load().inFlight,
        waiting: admission.load().waiting,
        limit: admission.load().limit,
      });
    }
    return {
      code: failure?.code ?? ResultCode.ok,
      reached,
      response: result.isOk() ? result.value : noAnswer,
      load: load(),
      shedLevel: Math.max(admission.shedLevel(), options.levels.downstreamLevel(request.route)),
      configurationVersion: options.configurationVersion(),
      incarnation: options.incarnation,
      message: failure?.message ?? '',
    };
  }

  return {
    handle: async (request, signal) => {
      active += 1;
      const outcome = await admit(request, signal);
      active -= 1;
      return answerOf(request, outcome);
    },
    active: () => active,
    load,
  };
}
