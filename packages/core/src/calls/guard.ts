import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { v7 as uuidv7 } from 'uuid';
import type { Admission, Outcome, Permit } from '../admission/admission.js';
import { AttemptAllowance } from '../attempts/attemptAllowance.js';
import type { CallResponse, CallRequest, CallTransport } from './call.js';
import { failureResponse, forwardedHeaders } from './callResponse.js';
import { decodeHop } from './callContext.js';
import type { HopContext } from './callContext.js';
import { CallHeader } from './callHeaders.js';
import { DownstreamCalls } from '../admission/downstreamCalls.js';
import type { Clock } from '../runtime/clock.js';
import type { CallPolicy, Configuration } from '../configuration/configuration.js';
import { remainingForHopMs } from './deadline.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import type { Histograms } from '../observability/histograms.js';
import { INTERIM_TIMEOUT_MS } from './interimResponses.js';
import { combineSignals } from './combinedSignal.js';
import type { Logger } from '../observability/logger.js';
import type { AtMostOnceExecutor } from '../atMostOnce/atMostOnceExecutor.js';
import { ResultCode } from '../runtime/resultCode.js';
import type { ExecutionBounds } from '../atMostOnce/shardHome.js';
import type { RunningCalls } from './runningCalls.js';
import type { TargetRegistry } from '../membership/targetRegistry.js';

/** HTTP status codes by which a target reports overload. */
const overloadStatuses = new Set([429, 503]);

/** Admits attempts sent by other daemons and runs them at the target beside this daemon. */
export interface Guard {
  /** Resolves with the target's response, or one that reports the failure. Never rejects. */
  handle(request: CallRequest, signal: AbortSignal): Promise<CallResponse>;
}

/** Runs `execute` at most once for a key; see `AtMostOnceExecutor`. */
export type AtMostOnceRunner = AtMostOnceExecutor['execute'];

/** Options of `createGuard`. */
export interface GuardOptions {
  clock: Clock;
  transport: CallTransport;
  admission: Admission;
  registry: TargetRegistry;
  runningCalls: RunningCalls;
  histograms: Histograms;
  logger: Logger;
  configuration: () => Configuration | undefined;
  runAtMostOnce: AtMostOnceRunner;
  /** Lowest shed level that the downstream calls of a call must pass. */
  downstreamShedLevel: (policy: CallPolicy) => number;
}

interface GuardedCall {
  request: CallRequest;
  policy: CallPolicy;
  context: HopContext;
  allowance: AttemptAllowance;
  signal: AbortSignal;
}

function failWith(code: Failure['code'], message: string): Result<never, Failure> {
  return Err(createFailure(code, message));
}

function outcomeOf(
  result: Result<CallResponse, Failure>,
  signal: AbortSignal,
  downstream: DownstreamCalls,
): Outcome {
  if (result.isOk()) return 'completed';
  if (signal.aborted) return 'cancelled';
  if (downstream.hasFailedCall) return 'failed';
  const { code } = result.error;
  const isTargetRejection =
    code === ResultCode.notRunTargetRefused || code === ResultCode.unknownTargetOverloaded;
  return isTargetRejection ? 'targetRefused' : 'failed';
}

/**
 * Turns an overload response into a failure. The call counts as "not run" only when the target
 * itself sets the header that says so.
 */
function checkTargetResponse(response: CallResponse): Result<CallResponse, Failure> {
  if (response.headers[CallHeader.refused] !== undefined) {
    return failWith(
      ResultCode.notRunTargetRefused,
      'the target rejected the call before execution',
    );
  }
  if (overloadStatuses.has(response.status)) {
    const message = `the target responded ${response.status} without ${CallHeader.refused}, so the call may have run`;
    return failWith(ResultCode.unknownTargetOverloaded, message);
  }
  return Ok(response);
}

/** Creates the guard of the target beside this daemon. */
export function createGuard(options: GuardOptions): Guard {
  const { clock, admission, registry, runningCalls } = options;
  const idPrefix = uuidv7();
  let lastId = 0;

  function nextCallId(): string {
    lastId += 1;
    return `${idPrefix}-${lastId}`;
  }

  function headersForTarget(call: GuardedCall, id: string, remainingMs: number) {
    const headers = forwardedHeaders(call.request.headers);
    headers[CallHeader.parent] = id;
    headers[CallHeader.root] = call.context.root;
    headers[CallHeader.caller] = call.context.caller;
    headers[CallHeader.importance] = call.context.importance;
    headers[CallHeader.deadline] = String(remainingMs);
    if (call.context.key) headers[CallHeader.key] = call.context.key;
    return headers;
  }

  async function sendToTarget(call: GuardedCall, id: string, bounds?: ExecutionBounds) {
    const { policy, request } = call;
    const target = registry.current();
    if (!target) return failWith(ResultCode.notRunNoTarget, 'the target has stopped');
    const remainingMs = remainingForHopMs(call.context.deadlineAt, clock.now());
    if (remainingMs === 0) {
      return failWith(
        ResultCode.notRunDeadline,
        'the deadline passed before the call could be sent to its target',
      );
    }
    const name = policy.name.slice(policy.service.length + 1);
    const headers = headersForTarget(call, id, remainingMs);
    if (bounds) {
      // The wall clock is read first: a process pause between the two readings then makes the
      // latest start earlier, never later.
      const now = clock.date().getTime();
      const beginWithinMs = bounds.beginWithinMs();
      if (beginWithinMs <= 0) {
        const message = 'the home lease of the shard was not valid; retry with the same key';
        return failWith(ResultCode.notRunHomeUnavailable, message);
      }
      // The target shares this host's wall clock and rejects a call that starts later.
      headers[CallHeader.latestStart] = String(now + beginWithinMs);
    }
    const sent = await options.transport.send(
      target,
      `/${policy.service}/${name}`,
      {
        call: policy.name,
        headers,
        body: request.body,
      },
      {
        timeoutMs: remainingMs,
        maxResponseBytes: policy.maxAnswerBytes,
        signal: call.signal,
        idleTimeoutMs: target.interimAnswers ? INTERIM_TIMEOUT_MS : undefined,
      },
    );
    return sent.isErr() ? sent : checkTargetResponse(sent.value);
  }

  async function runAtTarget(call: GuardedCall, permit: Permit, bounds?: ExecutionBounds) {
    const { policy, context, allowance, signal } = call;
    const id = nextCallId();
    const downstream = new DownstreamCalls(clock);
    const callSignal = combineSignals(signal);
    runningCalls.begin({
      id,
      policy,
      context,
      allowance,
      signal: callSignal.signal,
      downstream,
      childCounts: new Map(),
    });
    options.histograms.record({
      importance: context.importance,
      caller: context.caller,
      queueTimeMs: permit.queueTimeMs,
      concurrency: admission.load().inFlight,
    });
    const result = await sendToTarget(call, id, bounds);
    runningCalls.end(id);
    // Child calls still in flight are cancelled, since their results are no longer needed.
    if (result.isErr() || downstream.hasCallInFlight) {
      callSignal.abort(new Error('the call has ended'));
    }
    callSignal.release();
    permit.release(outcomeOf(result, signal, downstream), downstream.elapsedMs());
    return result;
  }

  function rejectionOf(policy: CallPolicy): Failure | undefined {
    const state = registry.state();
    if (state === 'draining') {
      return createFailure(
        ResultCode.notRunDraining,
        `the target of ${policy.service} beside this daemon is draining`,
      );
    }
    if (state !== 'serving' || registry.current()?.service !== policy.service) {
      return createFailure(
        ResultCode.notRunNoTarget,
        `this daemon has no serving target of ${policy.service}`,
      );
    }
    return undefined;
  }

  async function admitAndRun(
    call: GuardedCall,
    bounds?: ExecutionBounds,
  ): Promise<Result<CallResponse, Failure>> {
    const rejection = rejectionOf(call.policy);
    if (rejection) return Err(rejection);
    const permit = await admission.enter({
      ...call.context,
      signal: call.signal,
      downstreamShedLevel: () => options.downstreamShedLevel(call.policy),
    });
    if (permit.isErr()) return permit;
    return runAtTarget(call, permit.value, bounds);
  }

  async function run(call: GuardedCall): Promise<Result<CallResponse, Failure>> {
    if (call.policy.execution === 'repeatable') return admitAndRun(call);
    const { key } = call.context;
    if (!key) return failWith(ResultCode.badKeyMissing, 'the attempt has no idempotency key');
    // A retry with the same key joins the running call, so the call is not cancelled when the
    // caller that started it disconnects.
    const detachedCall = { ...call, signal: new AbortController().signal };
    return options.runAtMostOnce(key, (bounds) => admitAndRun(detachedCall, bounds));
  }

  function shedLevelFor(request: CallRequest): number {
    const policy = options.configuration()?.calls[request.call];
    return Math.max(admission.shedLevel(), policy ? options.downstreamShedLevel(policy) : 0);
  }

  /**
   * Creates the response to the calling daemon. Protocol headers in the target's response are
   * replaced, since a target may forward those of its child calls.
   */
  function createResponse(
    result: Result<CallResponse, Failure>,
    request: CallRequest,
    tokensLeft: number,
  ): CallResponse {
    const response = result.isOk() ? result.value : failureResponse(result.error);
    const headers = forwardedHeaders(response.headers);
    headers[CallHeader.code] = String(result.isOk() ? ResultCode.ok : result.error.code);
    headers[CallHeader.tokensLeft] = String(tokensLeft);
    headers[CallHeader.shedLevel] = String(shedLevelFor(request));
    return { ...response, headers };
  }

  return {
    handle: async (request, signal) => {
      const context = decodeHop(request.headers, clock.now());
      if (context.isErr()) return createResponse(context, request, 0);
      const policy = options.configuration()?.calls[request.call];
      if (!policy) {
        const message = `this daemon has no configuration of ${request.call} yet`;
        const missing = failWith(ResultCode.configurationMissing, message);
        return createResponse(missing, request, context.value.tokens);
      }
      const allowance = new AttemptAllowance(context.value.tokens, policy.children.length);
      const call: GuardedCall = { request, policy, context: context.value, allowance, signal };
      const result = await run(call);
      options.logger.log('debug', 'call ended at the target', {
        request: call.context.root,
        call: policy.name,
        code: result.isOk() ? ResultCode.ok : result.error.code,
        importance: call.context.importance,
      });
      return createResponse(result, request, allowance.close());
    },
  };
}
