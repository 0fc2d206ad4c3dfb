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
import { joinSignals } from './joinedSignal.js';
import type { Logger } from '../observability/logger.js';
import type { AtMostOnceExecutor } from '../atMostOnce/atMostOnceExecutor.js';
import { ResultCode } from '../runtime/resultCode.js';
import type { ExecutionBounds } from '../atMostOnce/shardHome.js';
import type { RunningCalls } from './runningCalls.js';
import type { TargetRegistry } from '../membership/targetRegistry.js';

/** Statuses with which a target says that it has too much to do. */
const overloadStatuses = new Set([429, 503]);

/** Lets calls from other daemons in to the target beside this one. */
export interface Guard {
  /** The target's answer, or an answer that tells why there is none. Never rejects. */
  handle(request: CallRequest, signal: AbortSignal): Promise<CallResponse>;
}

/** Runs `execute` at most once for a key; see `oneShot.ts`. */
export type AtMostOnceRunner = AtMostOnceExecutor['execute'];

/** What a guard needs. */
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
  /** Least shedding level that the calls below a call must pass. */
  downstreamShedLevel: (policy: CallPolicy) => number;
}

interface GuardedCall {
  request: CallRequest;
  policy: CallPolicy;
  context: HopContext;
  allowance: AttemptAllowance;
  signal: AbortSignal;
}

function failed(code: Failure['code'], message: string): Result<never, Failure> {
  return Err(createFailure(code, message));
}

function outcomeOf(
  result: Result<CallResponse, Failure>,
  signal: AbortSignal,
  below: DownstreamCalls,
): Outcome {
  if (result.isOk()) return 'completed';
  if (signal.aborted) return 'cancelled';
  if (below.hasFailedCall) return 'failed';
  const { code } = result.error;
  const refused =
    code === ResultCode.notRunTargetRefused || code === ResultCode.unknownTargetOverloaded;
  return refused ? 'targetRefused' : 'failed';
}

/** A target that is overloaded says whether it began; only its own word makes it "not run". */
function checkTargetAnswer(response: CallResponse): Result<CallResponse, Failure> {
  if (response.headers[CallHeader.refused] !== undefined) {
    return failed(ResultCode.notRunTargetRefused, 'the target refused before it began');
  }
  if (overloadStatuses.has(response.status)) {
    const message = `the target answered ${response.status} without ${CallHeader.refused}, so it may have begun`;
    return failed(ResultCode.unknownTargetOverloaded, message);
  }
  return Ok(response);
}

/** Makes the guard of the target beside this daemon. */
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
    if (!target) return failed(ResultCode.notRunNoTarget, 'the target beside this daemon is gone');
    const remainingMs = remainingForHopMs(call.context.deadlineAt, clock.now());
    if (remainingMs === 0) {
      return failed(ResultCode.notRunDeadline, 'no time was left when the call reached its target');
    }
    const name = policy.name.slice(policy.service.length + 1);
    const headers = headersForTarget(call, id, remainingMs);
    if (bounds) {
      // Read first: a pause between the two readings then shortens the time left, never adds to it.
      const now = clock.date().getTime();
      const beginWithinMs = bounds.beginWithinMs();
      if (beginWithinMs <= 0) {
        const message = 'the home of the key was not sure to be the only one; try the key again';
        return failed(ResultCode.notRunHomeUnavailable, message);
      }
      // The target shares this host's calendar clock, and refuses what comes later.
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
    return sent.isErr() ? sent : checkTargetAnswer(sent.value);
  }

  async function runAtTarget(call: GuardedCall, permit: Permit, bounds?: ExecutionBounds) {
    const { policy, context, allowance, signal } = call;
    const id = nextCallId();
    const below = new DownstreamCalls(clock);
    const wanted = joinSignals(signal);
    runningCalls.begin({
      id,
      policy,
      context,
      allowance,
      signal: wanted.signal,
      below,
      children: new Map(),
    });
    options.histograms.record({
      importance: context.importance,
      caller: context.caller,
      queueTimeMs: permit.waitedMs,
      concurrency: admission.load().inFlight,
    });
    const result = await sendToTarget(call, id, bounds);
    runningCalls.end(id);
    // Calls below that are still under way serve nobody any more.
    if (result.isErr() || below.hasCallInFlight) wanted.abort(new Error('the call is over'));
    wanted.release();
    permit.release(outcomeOf(result, signal, below), below.elapsedMs());
    return result;
  }

  function refusal(policy: CallPolicy): Failure | undefined {
    const state = registry.state();
    if (state === 'draining') {
      return createFailure(
        ResultCode.notRunDraining,
        `this target of ${policy.service} is leaving`,
      );
    }
    if (state !== 'serving' || registry.current()?.service !== policy.service) {
      return createFailure(ResultCode.notRunNoTarget, `no target of ${policy.service} serves here`);
    }
    return undefined;
  }

  async function admitAndRun(
    call: GuardedCall,
    bounds?: ExecutionBounds,
  ): Promise<Result<CallResponse, Failure>> {
    const refused = refusal(call.policy);
    if (refused) return Err(refused);
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
    if (!key) return failed(ResultCode.badKeyMissing, 'the attempt came without its key');
    // A retry of the same key joins the running call, so it outlives the caller that began it.
    const kept = { ...call, signal: new AbortController().signal };
    return options.runAtMostOnce(key, (bounds) => admitAndRun(kept, bounds));
  }

  function shedLevelFor(request: CallRequest): number {
    const policy = options.configuration()?.calls[request.call];
    return Math.max(admission.shedLevel(), policy ? options.downstreamShedLevel(policy) : 0);
  }

  /** Only this daemon says what the code is: a target may pass on headers of calls that it made. */
  function finish(
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
      if (context.isErr()) return finish(context, request, 0);
      const policy = options.configuration()?.calls[request.call];
      if (!policy) {
        const message = `this daemon has no configuration for ${request.call} yet`;
        const missing = failed(ResultCode.configurationMissing, message);
        return finish(missing, request, context.value.tokens);
      }
      const allowance = new AttemptAllowance(context.value.tokens, policy.children.length);
      const call: GuardedCall = { request, policy, context: context.value, allowance, signal };
      const result = await run(call);
      options.logger.log('debug', 'call left the target', {
        request: call.context.root,
        call: policy.name,
        code: result.isOk() ? ResultCode.ok : result.error.code,
        importance: call.context.importance,
      });
      return finish(result, request, allowance.close());
    },
  };
}
