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
import { joinSignals } from './joinedSignal.js';
import type { Logger } from '../observability/logger.js';
import type { Member } from '../membership/member.js';
import type { RandomSource } from '../runtime/random.js';
import { settleNotHome } from '../atMostOnce/atMostOnceExecutor.js';
import { ResultCode, isNotRun, isOutcomeUnknown } from '../runtime/resultCode.js';
import type { ResultNumber } from '../runtime/resultCode.js';
import type { RetryBudget } from '../attempts/retryBudget.js';
import { isRetryable } from '../attempts/retryDecision.js';
import type { TargetRouter } from '../membership/targetRouter.js';

/** Wait for an answer past the deadline that was sent along, in milliseconds. */
const ANSWER_GRACE_MS = 5;

/** Wait for the news of a shard's new home, times the number of the attempt, in milliseconds. */
const HOME_CHANGE_WAIT_MS = 200;

/** Makes calls on behalf of a caller: chooses targets, retries, and returns one whole answer. */
export interface Gateway {
  /** The answer of the call, or an answer that tells its failure. Never rejects. */
  call(request: CallRequest, signal: AbortSignal): Promise<CallResponse>;
}

/** What a gateway needs. */
export interface GatewayOptions {
  clock: Clock;
  random: RandomSource;
  transport: CallTransport;
  router: TargetRouter;
  retryBudget: RetryBudget;
  histograms: Histograms;
  logger: Logger;
  /** Finds policy, context and allowance of a request. */
  originOf: (request: CallRequest) => Result<CallOrigin, Failure>;
}

interface AttemptResult {
  response: CallResponse;
  code: ResultNumber;
  /** True when a daemon gave the answer, false when the failure arose here. */
  answered: boolean;
}

/** Ends of an attempt that cost the service nothing, so that the retry ratio does not count them. */
const loadlessCodes = new Set<ResultNumber>([
  ResultCode.notRunConnect,
  ResultCode.notRunDraining,
  ResultCode.notRunNoTarget,
  ResultCode.notHome,
]);

/** Makes a gateway. */
export function createGateway(options: GatewayOptions): Gateway {
  const { clock, router, transport } = options;

  function endOfFailure(failure: Failure): AttemptResult {
    return { response: failureResponse(failure), code: failure.code, answered: false };
  }

  async function send(call: CallProgress, member: Member): Promise<AttemptResult> {
    const { policy, context, request } = call;
    const now = clock.now();
    const remainingMs = remainingForHopMs(context.deadlineAt, now);
    if (remainingMs === 0) {
      const message = `no time is left for ${policy.name}`;
      return endOfFailure(createFailure(ResultCode.notRunDeadline, message));
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
        timeoutMs: remainingMs + ANSWER_GRACE_MS,
        maxResponseBytes: policy.maxAnswerBytes,
        signal: call.signal,
      },
    );
    if (sent.isErr()) {
      // Where no byte was sent nothing was spent below; else what was spent is not known.
      if (isNotRun(sent.error.code)) grant.settle(grant.tokens);
      else grant.forfeit();
      router.recordFailure(member, sent.error);
      return endOfFailure(sent.error);
    }
    grant.settle(numberHeaderOf(sent.value, CallHeader.tokensLeft, 0));
    router.recordResponse(member, sent.value);
    return { response: sent.value, code: resultCodeOf(sent.value), answered: true };
  }

  async function attempt(call: CallProgress): Promise<AttemptResult> {
    const chosen = router.choose(call);
    if (chosen.isErr()) return endOfFailure(chosen.error);
    const member = chosen.value;
    call.recordAttempt(member);
    router.begin(member);
    try {
      return await send(call, member);
    } finally {
      router.end(member);
    }
  }

  /** Time to wait before the next attempt, in milliseconds; undefined when too little is left. */
  function waitBeforeRetry(call: CallProgress, end: AttemptResult): number | undefined {
    const remainingMs = call.context.deadlineAt - clock.now();
    const retry = Math.max(1, call.attempts);
    if (end.code !== ResultCode.notHome) return backoffMs(retry, remainingMs, options.random);
    // The shard is changing hands, and the news of its new home is on the way.
    const waitMs = HOME_CHANGE_WAIT_MS * retry;
    return waitMs < remainingMs ? waitMs : undefined;
  }

  /** Pays for a retry and waits before it; false when the call must end now. */
  async function prepareRetry(call: CallProgress, end: AttemptResult): Promise<boolean> {
    const { policy, signal } = call;
    const sameHome = policy.execution === 'atMostOnce';
    if (!isRetryable({ code: end.code, execution: policy.execution, sameHome })) return false;
    const waitMs = waitBeforeRetry(call, end);
    if (waitMs === undefined || signal.aborted) return false;
    const allowed = loadlessCodes.has(end.code) || options.retryBudget.tryRetry(policy.service);
    if (!allowed || call.allowance.left === 0) return false;
    call.allowance.spend();
    await clock.sleep(waitMs, signal).catch(() => undefined);
    return !signal.aborted;
  }

  /** Only its home can say that a key was not run, unless no other attempt can carry it. */
  function settleKey(call: CallProgress, end: AttemptResult): AttemptResult {
    if (call.policy.execution !== 'atMostOnce') return end;
    const unsettled = end.code === ResultCode.notHome || (!end.answered && isNotRun(end.code));
    if (!unsettled) return end;
    const message = `the home of the key could not be asked (${end.code}); try the same key again`;
    const notHome = createFailure(ResultCode.notHome, message);
    return endOfFailure(settleNotHome(notHome, call.keyIsSole));
  }

  /** An earlier attempt may have run, so a later refusal does not make the call "not run". */
  function truthful(call: CallProgress, last: AttemptResult): AttemptResult {
    const end = settleKey(call, last);
    if (!call.mayHaveRun || !isNotRun(end.code)) return end;
    const message = `an earlier attempt of ${call.policy.name} may have run; the last one was refused with ${end.code}`;
    return endOfFailure(createFailure(ResultCode.unknownConnectionLost, message));
  }

  async function makeAttempts(call: CallProgress): Promise<AttemptResult> {
    for (;;) {
      const end = await attempt(call);
      if (end.code === ResultCode.ok) return end;
      if (isOutcomeUnknown(end.code) || end.code === ResultCode.internal) {
        call.recordUnknownOutcome();
      }
      if (!(await prepareRetry(call, end))) return truthful(call, end);
    }
  }

  async function run(origin: CallOrigin, request: CallRequest, signal: AbortSignal) {
    const startedAt = clock.now();
    const { policy, context } = origin;
    options.retryBudget.recordCall(policy.service);
    const call = new CallProgress(request, origin, signal);
    const end = await makeAttempts(call);
    origin.settle(end.code);
    options.histograms.record({
      importance: context.importance,
      caller: context.caller,
      latencyMs: clock.now() - startedAt,
      attempts: call.attempts,
    });
    options.logger.log(end.code === ResultCode.ok ? 'debug' : 'info', 'call ended', {
      request: context.root,
      call: policy.name,
      code: end.code,
      importance: context.importance,
      caller: context.caller,
      attempts: call.attempts,
    });
    return end.response;
  }

  return {
    call: async (request, signal) => {
      const origin = options.originOf(request);
      if (origin.isErr()) return failureResponse(origin.error);
      if (!origin.value.signal) return run(origin.value, request, signal);
      const joined = joinSignals(signal, origin.value.signal);
      const response = await run(origin.value, request, joined.signal);
      joined.release();
      return response;
    },
  };
}
