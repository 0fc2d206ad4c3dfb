import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Admission, Outcome } from '../admission/admission.js';
import type { CallResponse, CallTransport, Endpoint } from '../calls/call.js';
import type { Clock } from '../runtime/clock.js';
import type { Counters } from '../observability/counters.js';
import type { LocalTarget } from '../directory/localTarget.js';
import type { TargetRun } from '../directory/targetRun.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import type { Histograms } from '../observability/histograms.js';
import type { Logger } from '../observability/logger.js';
import { ResultCode } from '../runtime/resultCode.js';
import type { RouteShedLevels } from '../placement/routeShedLevels.js';
import type { AttemptRegistry } from './attemptRegistry.js';
import type { HeaderCodec } from './forwardedRequest.js';
import type { HopResponse, HopRequest, TargetLoad } from './hopMessages.js';
import type { LocalTargetNotices } from './localTargetNotices.js';
import type { CallTrees } from './callTrees.js';
import { digestOf } from './requestSuspicions.js';
import type { RequestSuspicions } from './requestSuspicions.js';
import { ResponseTimes } from './responseTimes.js';
import { SolitarySlot } from './solitarySlot.js';
import type { TargetEnds } from './targetEnds.js';

/** Weight of the newest sample in the moving average of the target's response time. */
const SERVICE_TIME_SAMPLE_WEIGHT = 0.05;
/** Least time that a request must have left to begin, as a share of its route's mean response time. */
const MIN_REMAINING_SHARE = 0.5;
/** Mean response time that is assumed before the first sample, in milliseconds. */
const INITIAL_SERVICE_TIME_MS = 50;
/** Largest accepted response of the target, in bytes. */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

const EMPTY_RESPONSE: CallResponse = { status: 503, headers: {}, body: Buffer.alloc(0) };

/** Admits forwarded requests and runs them at the target beside this daemon. */
export interface RequestGuard {
  /** Returns the target's response, or the reason why there is none. Never rejects. */
  handle(request: HopRequest, signal: AbortSignal): Promise<HopResponse>;
  /** Number of requests that are queued or in flight. */
  active(): number;
  load(): TargetLoad;
}

/** Options of `createRequestGuard`. */
export interface RequestGuardOptions {
  clock: Clock;
  logger: Logger;
  transport: CallTransport;
  headerCodec: HeaderCodec;
  admission: Admission;
  attempts: AttemptRegistry;
  target: LocalTarget;
  notices: LocalTargetNotices;
  trees: CallTrees;
  levels: RouteShedLevels;
  suspicions: RequestSuspicions;
  targetEnds: TargetEnds;
  histograms: Histograms;
  counters: Counters;
  /** Address at which the target listens. */
  endpoint: Endpoint;
  /** Incarnation of this daemon. */
  incarnation: string;
  /** True once this daemon rejects new requests for its target. */
  isStopping: () => boolean;
  configurationVersion: () => number;
}

interface TargetOutcome {
  result: Result<CallResponse, Failure>;
  /** Whether any byte of the request was sent to the target. */
  reached: boolean;
}

function failWith(code: Failure['code'], message: string): Result<never, Failure> {
  return Err(createFailure(code, message));
}

function outcomeOf(result: Result<CallResponse, Failure>, signal: AbortSignal): Outcome {
  if (result.isOk()) return 'completed';
  if (signal.aborted) return 'cancelled';
  return result.error.code === ResultCode.notRunTargetRefused ? 'targetRefused' : 'failed';
}

/** Creates the request guard of the target beside this daemon. */
export function createRequestGuard(options: RequestGuardOptions): RequestGuard {
  const { clock, admission, headerCodec, attempts, target, notices, logger } = options;
  const { suspicions, targetEnds } = options;
  const solitarySlot = new SolitarySlot(clock);
  let active = 0;
  let serviceMs = INITIAL_SERVICE_TIME_MS;
  const responseTimes = new ResponseTimes();

  function load(): TargetLoad {
    return { ...admission.load(), serviceMs };
  }

  function leavingRun(): TargetRun | undefined {
    const local = target.current();
    return local && local.state !== 'ready' ? local : undefined;
  }

  /** Failure of a request that this daemon cannot admit regardless of load, or undefined. */
  function rejectionOf(request: HopRequest): Result<never, Failure> | undefined {
    if (request.incarnation !== options.incarnation) {
      return failWith(
        ResultCode.notRunNoTarget,
        'the request is for an earlier incarnation of the daemon',
      );
    }
    const local = target.current();
    if (local?.service !== request.service || !target.isReady()) {
      const state = local ? `${local.service}, ${local.state}` : 'not known yet';
      const code = local ? ResultCode.notRunDraining : ResultCode.notRunNoTarget;
      return failWith(code, `the target beside this daemon: ${state}`);
    }
    if (request.isBodyMissing) {
      return failWith(ResultCode.notRunShed, 'the daemon holds too many bytes of other requests');
    }
    if (options.isStopping()) {
      return failWith(ResultCode.notRunDraining, 'the daemon beside the target is stopping');
    }
    return undefined;
  }

  /** Turns a response into a failure if the target did not run the request or it is not valid. */
  function resultOfResponse(response: CallResponse): Result<CallResponse, Failure> {
    const responseClass = headerCodec.classifyResponse(response.status, response.headers);
    if (responseClass === 'executed') return Ok(response);
    if (responseClass === 'damaged') {
      return failWith(
        ResultCode.unknownAnswerTruncated,
        'the response is damaged or not from the target',
      );
    }
    const reason =
      responseClass === 'wrongInstance' ? 'its address belongs to another target' : 'it is full';
    return failWith(
      ResultCode.notRunTargetRefused,
      `the target did not run the request: ${reason}`,
    );
  }

  /** Records what the target tells about itself, unless another target responded in its place. */
  function recordNotice(
    request: HopRequest,
    run: TargetRun,
    sentAt: number,
    response: CallResponse,
  ): void {
    const { status, headers } = response;
    if (headerCodec.classifyResponse(status, headers) === 'wrongInstance') return;
    const notice = headerCodec.readNotice(headers);
    notices.receive({ notice, run, requestId: request.callerId, sentAt });
  }

  async function send(
    request: HopRequest,
    deadlineAt: number,
    signal: AbortSignal,
    wasAlone: boolean,
  ): Promise<TargetOutcome> {
    const remainingMs = Math.floor(deadlineAt - clock.now());
    const local = target.current();
    if (remainingMs <= 0 || !local) {
      const result = failWith(
        ResultCode.notRunDeadline,
        'the deadline passed before the request was sent',
      );
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
    notices.recordSend();
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
      { timeoutMs: remainingMs, maxResponseBytes: MAX_RESPONSE_BYTES, signal },
    );
    const reached = sent.isOk() || sent.error.code >= ResultCode.unknownTimeout;
    if (sent.isErr()) {
      // A target that was stopped on purpose says nothing about its requests.
      const isSuspicious = sent.error.code === ResultCode.unknownConnectionLost && target.isReady();
      if (isSuspicious) await targetEnds.recordLoss({ request, run: local, wasAlone });
      return { result: sent, reached };
    }
    const elapsedMs = clock.now() - startedAt;
    serviceMs += SERVICE_TIME_SAMPLE_WEIGHT * (elapsedMs - serviceMs);
    responseTimes.record(request.route, elapsedMs);
    recordNotice(request, local, startedAt, sent.value);
    return { result: resultOfResponse(sent.value), reached };
  }

  async function admitTrusted(
    request: HopRequest,
    deadlineAt: number,
    signal: AbortSignal,
    wasAlone: boolean,
  ): Promise<TargetOutcome> {
    if (!attempts.register(request.attemptId, deadlineAt)) {
      const result = failWith(
        ResultCode.notRunCancelled,
        'the attempt was voided before it arrived',
      );
      return { result, reached: false };
    }
    const permit = await admission.enter({
      importance: request.importance,
      caller: request.rootId,
      deadlineAt,
      signal,
      isChildCall: request.isChildCall,
      minRemainingMs: MIN_REMAINING_SHARE * (responseTimes.meanOf(request.route) ?? 0),
      downstreamShedLevel: () =>
        request.isChildCall ? 0 : options.levels.downstreamLevel(request.route),
    });
    if (permit.isErr()) {
      attempts.void(request.attemptId);
      return { result: permit, reached: false };
    }
    // While the request was queued, the target may have started to drain and the attempt may have
    // been voided.
    const lateRejection = rejectionOf(request);
    if (lateRejection || !attempts.begin(request.attemptId)) {
      permit.value.release('cancelled');
      const result =
        lateRejection ??
        failWith(ResultCode.notRunCancelled, 'the attempt was voided while queued');
      return { result, reached: false };
    }
    options.histograms.record({
      importance: request.importance,
      caller: request.callerService,
      queueTimeMs: permit.value.queueTimeMs,
      concurrency: admission.load().inFlight,
    });
    options.trees.begin(request.callerId, request);
    const outcome = await send(request, deadlineAt, signal, wasAlone);
    options.trees.end(request.callerId);
    permit.value.release(outcomeOf(outcome.result, signal));
    return outcome;
  }

  /** Failure of a request that is barred because targets have ended under such requests. */
  function rejectBarred(request: HopRequest, digest: string): TargetOutcome {
    const { runs, convictions } = suspicions.evidenceOf(digest);
    options.counters.increment('suspected_requests_total', 'barred');
    logger.log('warn', 'request barred', {
      request: request.callerId,
      attempt: request.attemptId,
      digest,
      endedTargets: runs.length,
      endedAlone: convictions,
    });
    const message = `${runs.length} targets have ended under such requests`;
    return { result: failWith(ResultCode.notRunBarred, message), reached: false };
  }

  /** Runs a suspected request while no other suspect runs at this target. */
  async function admitAlone(
    request: HopRequest,
    digest: string,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<TargetOutcome> {
    if (!(await solitarySlot.take(deadlineAt, signal))) {
      const message = 'the request is suspected and others ran alone until its deadline';
      return { result: failWith(ResultCode.notRunQueueTimeout, message), reached: false };
    }
    try {
      // Its target may have ended, or the request may be barred, since it began to wait.
      const rejection = rejectionOf(request);
      if (rejection) return { result: rejection, reached: false };
      if (suspicions.standingOf(digest) === 'barred') return rejectBarred(request, digest);
      options.counters.increment('suspected_requests_total', 'ranAlone');
      const outcome = await admitTrusted(request, deadlineAt, signal, true);
      if (outcome.result.isOk()) suspicions.recordSuccess(digest);
      return outcome;
    } finally {
      solitarySlot.free();
    }
  }

  async function admit(request: HopRequest, signal: AbortSignal): Promise<TargetOutcome> {
    const rejection = rejectionOf(request);
    if (rejection) return { result: rejection, reached: false };
    if (request.rateLimit) notices.adopt(request.rateLimit);
    const deadlineAt = clock.now() + request.remainingMs;
    if (suspicions.isEmpty) return admitTrusted(request, deadlineAt, signal, false);
    const digest = digestOf(request);
    const standing = suspicions.standingOf(digest);
    if (standing === 'barred') return rejectBarred(request, digest);
    if (standing === 'suspected') return admitAlone(request, digest, deadlineAt, signal);
    return admitTrusted(request, deadlineAt, signal, false);
  }

  function hopResponseOf(request: HopRequest, outcome: TargetOutcome): HopResponse {
    const { result, reached } = outcome;
    const failure = result.isErr() ? result.error : undefined;
    options.counters.increment('target_attempts_total', String(failure?.code ?? ResultCode.ok));
    if (failure) {
      logger.log('info', 'no usable response from target', {
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
        rateLimit: notices.rateLimit()?.requestsPerSecond,
      });
    }
    return {
      code: failure?.code ?? ResultCode.ok,
      reached,
      response: result.isOk() ? result.value : EMPTY_RESPONSE,
      load: load(),
      shedLevel: Math.max(admission.shedLevel(), options.levels.downstreamLevel(request.route)),
      configurationVersion: options.configurationVersion(),
      incarnation: options.incarnation,
      message: failure?.message ?? '',
      rateLimit: notices.rateLimit(),
      leavingRun: leavingRun(),
    };
  }

  return {
    handle: async (request, signal) => {
      active += 1;
      const outcome = await admit(request, signal);
      active -= 1;
      return hopResponseOf(request, outcome);
    },
    active: () => active,
    load,
  };
}
