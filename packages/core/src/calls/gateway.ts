import type { Result } from 'ts-results-es';
import { backoffMs } from '../attempts/backoff.js';
import type { CallResponse, CallRequest, CallTransport } from './call.js';
import { failureResponse, resultCodeOf, numberHeaderOf, forwardedHeaders } from './callResponse.js';
import { encodeHop } from './callContext.js';
import { CallHeader } from './callHeaders.js';
import { CallProgress } from './callProgress.js';
import type { CallOrigin } from './callOrigin.js';
import type { Clock } from '../runtime/clock.js';
import { remainingForHopMs } from './deadline.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import type { Histograms } from '../observability/histograms.js';
import { combineSignals } from './combinedSignal.js';
import type { Logger } from '../observability/logger.js';
import type { Member } from '../membership/member.js';
import type { RandomSource } from '../runtime/random.js';
import { callerFailureOf } from '../atMostOnce/atMostOnceExecutor.js';
import { ResultCode, isNotRun, isOutcomeUnknown } from '../runtime/resultCode.js';
import type { ResultNumber } from '../runtime/resultCode.js';
import type { RetryBudget } from '../attempts/retryBudget.js';
import { isRetryable } from '../attempts/retryDecision.js';
import type { TargetRouter } from '../membership/targetRouter.js';

/** Time that a response may arrive after the deadline sent with the request, in milliseconds. */
const RESPONSE_GRACE_MS = 5;

/**
 * Wait for the update about a shard's new home, in milliseconds; multiplied by the number of
 * attempts made.
 */
const HOME_CHANGE_WAIT_MS = 200;

/** Makes calls for a caller: chooses targets, retries, and returns one complete response. */
export interface Gateway {
  /** Resolves with the response of the call, or one that reports its failure. Never rejects. */
  call(request: CallRequest, signal: AbortSignal): Promise<CallResponse>;
}

/** Options of `createGateway`. */
export interface GatewayOptions {
  clock: Clock;
  random: RandomSource;
  transport: CallTransport;
  router: TargetRouter;
  retryBudget: RetryBudget;
  histograms: Histograms;
  logger: Logger;
  /** Determines policy, context and attempt allowance of a request. */
  originOf: (request: CallRequest) => Result<CallOrigin, Failure>;
}

/** Result of one attempt. */
interface AttemptResult {
  response: CallResponse;
  code: ResultNumber;
  /** True when a daemon sent the response, false when it reports a local failure. */
  isDaemonResponse: boolean;
}

/** Codes of attempts that put no load on the service; their retries don't use the retry budget. */
const retryBudgetExemptCodes = new Set<ResultNumber>([
  ResultCode.notRunConnect,
  ResultCode.notRunDraining,
  ResultCode.notRunNoTarget,
  ResultCode.notHome,
]);

/** Creates the gateway of a daemon or of an embedded caller. */
export function createGateway(options: GatewayOptions): Gateway {
  const { clock, router, transport } = options;

  function attemptResultOf(failure: Failure): AttemptResult {
    return { response: failureResponse(failure), code: failure.code, isDaemonResponse: false };
  }

  async function send(call: CallProgress, member: Member): Promise<AttemptResult> {
    const { policy, context, request } = call;
    const now = clock.now();
    const remainingMs = remainingForHopMs(context.deadlineAt, now);
    if (remainingMs === 0) {
      const message = `the deadline has passed before an attempt of ${policy.name} could be sent`;
      return attemptResultOf(createFailure(ResultCode.notRunDeadline, message));
    }
    const grant = call.allowance.grantForAttempt();
    const headers = {
      ...forwardedHeaders(request.headers),
      ...encodeHop(context, grant.tokens, remainingMs),
    };
    const sent = await transport.send(
      { address: member.address, port: member.callPort },
      `/hop/${policy.service}/${policy.name.slice(policy.service.length + 1)}`,
      { call: policy.name, headers, body: request.body },
      {
        timeoutMs: remainingMs + RESPONSE_GRACE_MS,
        maxResponseBytes: policy.maxAnswerBytes,
        signal: call.signal,
      },
    );
    if (sent.isErr()) {
      // If no byte was sent, no tokens were spent downstream; otherwise the number is unknown.
      if (isNotRun(sent.error.code)) grant.settle(grant.tokens);
      else grant.forfeit();
      router.recordFailure(member, sent.error);
      return attemptResultOf(sent.error);
    }
    grant.settle(numberHeaderOf(sent.value, CallHeader.tokensLeft, 0));
    router.recordResponse(member, sent.value);
    return { response: sent.value, code: resultCodeOf(sent.value), isDaemonResponse: true };
  }

  async function attempt(call: CallProgress): Promise<AttemptResult> {
    const chosen = router.choose(call);
    if (chosen.isErr()) return attemptResultOf(chosen.error);
    const member = chosen.value;
    call.recordAttempt(member);
    router.begin(member);
    try {
      return await send(call, member);
    } finally {
      router.end(member);
    }
  }

  /** Returns the wait before a retry, in milliseconds; undefined when too little time is left. */
  function waitBeforeRetryMs(call: CallProgress, result: AttemptResult): number | undefined {
    const remainingMs = call.context.deadlineAt - clock.now();
    const retry = Math.max(1, call.attempts);
    if (result.code !== ResultCode.notHome) return backoffMs(retry, remainingMs, options.random);
    // The shard is moving to another home, and the update about it has not arrived yet.
    const waitMs = HOME_CHANGE_WAIT_MS * retry;
    return waitMs < remainingMs ? waitMs : undefined;
  }

  /** Reserves a retry and waits before it; resolves with false when the call must end. */
  async function prepareRetry(call: CallProgress, result: AttemptResult): Promise<boolean> {
    const { policy, signal } = call;
    const isSameHome = policy.execution === 'atMostOnce';
    if (!isRetryable({ code: result.code, execution: policy.execution, isSameHome })) return false;
    const waitMs = waitBeforeRetryMs(call, result);
    if (waitMs === undefined || signal.aborted) return false;
    const isWithinBudget =
      retryBudgetExemptCodes.has(result.code) || options.retryBudget.tryRetry(policy.service);
    if (!isWithinBudget || call.allowance.left === 0) return false;
    call.allowance.spend();
    await clock.sleep(waitMs, signal).catch(() => undefined);
    return !signal.aborted;
  }

  /**
   * Replaces a result that does not come from the home of the key. Only the home knows whether
   * a key was not run, unless no other call can carry the key.
   */
  function resolveKeyOutcome(call: CallProgress, result: AttemptResult): AttemptResult {
    if (call.policy.execution !== 'atMostOnce') return result;
    const isUnresolved =
      result.code === ResultCode.notHome || (!result.isDaemonResponse && isNotRun(result.code));
    if (!isUnresolved) return result;
    const message = `the home of the key could not be reached (${result.code}); retry with the same key`;
    const notHome = createFailure(ResultCode.notHome, message);
    return attemptResultOf(callerFailureOf(notHome, call.isKeyExclusive));
  }

  /**
   * Returns the result of the call, given the result of its last attempt. When an earlier attempt
   * may have run, a later rejection does not make the call "not run".
   */
  function finalResultOf(call: CallProgress, last: AttemptResult): AttemptResult {
    const result = resolveKeyOutcome(call, last);
    if (!call.mayHaveRun || !isNotRun(result.code)) return result;
    const message = `an earlier attempt of ${call.policy.name} may have run; the last one was rejected with ${result.code}`;
    return attemptResultOf(createFailure(ResultCode.unknownConnectionLost, message));
  }

  async function makeAttempts(call: CallProgress): Promise<AttemptResult> {
    for (;;) {
      const result = await attempt(call);
      if (result.code === ResultCode.ok) return result;
      if (isOutcomeUnknown(result.code) || result.code === ResultCode.internal) {
        call.recordUnknownOutcome();
      }
      if (!(await prepareRetry(call, result))) return finalResultOf(call, result);
    }
  }

  async function run(origin: CallOrigin, request: CallRequest, signal: AbortSignal) {
    const startedAt = clock.now();
    const { policy, context } = origin;
    options.retryBudget.recordCall(policy.service);
    const call = new CallProgress(request, origin, signal);
    const result = await makeAttempts(call);
    origin.settle(result.code);
    options.histograms.record({
      importance: context.importance,
      caller: context.caller,
      latencyMs: clock.now() - startedAt,
      attempts: call.attempts,
    });
    options.logger.log(result.code === ResultCode.ok ? 'debug' : 'info', 'call ended', {
      request: context.root,
      call: policy.name,
      code: result.code,
      importance: context.importance,
      caller: context.caller,
      attempts: call.attempts,
    });
    return result.response;
  }

  return {
    call: async (request, signal) => {
      const origin = options.originOf(request);
      if (origin.isErr()) return failureResponse(origin.error);
      if (!origin.value.signal) return run(origin.value, request, signal);
      const combinedSignal = combineSignals(signal, origin.value.signal);
      const response = await run(origin.value, request, combinedSignal.signal);
      combinedSignal.release();
      return response;
    },
  };
}
