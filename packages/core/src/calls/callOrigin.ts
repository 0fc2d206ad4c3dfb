import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { v7 as uuidv7 } from 'uuid';
import { AttemptAllowance } from '../attempts/attemptAllowance.js';
import type { CallRequest } from './call.js';
import { readName } from './callContext.js';
import type { CallContext } from './callContext.js';
import { CallHeader } from './callHeaders.js';
import type { Clock } from '../runtime/clock.js';
import type { CallPolicy, Configuration } from '../configuration/configuration.js';
import { HOP_COST_MS, deadlineAt, parseDeadlineMs } from './deadline.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { deriveKey, readKey } from './idempotencyKey.js';
import { ResultCode } from '../runtime/resultCode.js';
import type { ResultNumber } from '../runtime/resultCode.js';
import type { RunningCall, RunningCalls } from './runningCalls.js';

const ANONYMOUS_CALLER = 'anonymous';

/** Where a call comes from, and what it may use. */
export interface CallOrigin {
  policy: CallPolicy;
  context: CallContext;
  allowance: AttemptAllowance;
  /** True when no attempt outside this call can carry the same key. */
  keyIsSole: boolean;
  /** Aborted when the parent call is no longer wanted; absent in a root. */
  signal: AbortSignal | undefined;
  /** Returns what was not spent to the parent; to be called once, at the end. */
  settle(code: ResultNumber): void;
}

/** What finding an origin needs. */
export interface CallOriginOptions {
  clock: Clock;
  configuration: () => Configuration | undefined;
  runningCalls: RunningCalls;
}

function failed(code: ResultNumber, message: string) {
  return Err(createFailure(code, message));
}

/** Finds policy, context and allowance of a request: of a new root, or of a child. */
export function createCallOrigins(options: CallOriginOptions) {
  const { clock } = options;

  function policyOf(name: string): Result<CallPolicy, Failure> {
    const configuration = options.configuration();
    if (!configuration) {
      const message = 'no configuration is in force yet; apply one with: shallotcroft apply';
      return failed(ResultCode.configurationMissing, message);
    }
    const policy = configuration.calls[name];
    if (!policy) {
      const message = `${name} is not a configured call; add it to the answers and apply them`;
      return failed(ResultCode.badUnknownCall, message);
    }
    return Ok(policy);
  }

  /** The key in lower case, undefined for a call that needs none. */
  function checkKey(
    policy: CallPolicy,
    key: string | undefined,
  ): Result<string | undefined, Failure> {
    if (key) return readKey(key);
    if (policy.execution !== 'atMostOnce' && !policy.keyed) return Ok(undefined);
    const message = `${policy.name}, or a call below it, may run at most once: send a UUIDv7 in the header ${CallHeader.key}, the same one with each retry`;
    return failed(ResultCode.badKeyMissing, message);
  }

  function rootOrigin(request: CallRequest, policy: CallPolicy): Result<CallOrigin, Failure> {
    const root = readName(request.headers, CallHeader.root, uuidv7);
    if (root.isErr()) return root;
    const caller = readName(request.headers, CallHeader.caller, () => ANONYMOUS_CALLER);
    if (caller.isErr()) return caller;
    const patience = parseDeadlineMs(request.headers[CallHeader.deadline]);
    if (patience.isErr()) return patience;
    const key = checkKey(policy, request.headers[CallHeader.key]);
    if (key.isErr()) return key;
    const patienceMs = Math.min(policy.deadlineMs, patience.value ?? policy.deadlineMs);
    const context: CallContext = {
      root: root.value,
      caller: caller.value,
      importance: policy.importance,
      deadlineAt: deadlineAt(clock.now(), patienceMs),
      key: key.value,
    };
    const allowance = new AttemptAllowance(policy.attemptTokens, policy.children.length);
    return Ok({
      policy,
      context,
      allowance,
      keyIsSole: request.keyIsNew ?? false,
      signal: undefined,
      settle: () => undefined,
    });
  }

  /**
   * Name of a child within one execution of its parent, the same when the parent runs again.
   * The same child once more is a further attempt, which costs a token.
   */
  function childLabel(
    request: CallRequest,
    policy: CallPolicy,
    parent: RunningCall,
  ): Result<string, Failure> {
    const label = readName(request.headers, CallHeader.label, () => '-');
    if (label.isErr()) return label;
    const started = parent.children.get(policy.name) ?? 0;
    parent.children.set(policy.name, started + 1);
    const unlabelled = request.headers[CallHeader.label] === undefined;
    if (policy.execution === 'atMostOnce' && unlabelled && started > 0) {
      const message = `${parent.policy.name} calls ${policy.name} more than once: send a different ${CallHeader.label} with each`;
      return failed(ResultCode.badChildLabelMissing, message);
    }
    return label;
  }

  function childOrigin(
    request: CallRequest,
    policy: CallPolicy,
    parent: RunningCall,
  ): Result<CallOrigin, Failure> {
    const label = childLabel(request, policy, parent);
    if (label.isErr()) return label;
    const { context } = parent;
    const own = request.headers[CallHeader.key];
    const derived = context.key && deriveKey(context.key, policy.name, label.value);
    const key = checkKey(policy, own ?? derived);
    if (key.isErr()) return key;
    const firstOfItsName = parent.children.get(policy.name) === 1;
    const grant = parent.allowance.grantForChild(`${policy.name}#${label.value}`);
    if (!grant) {
      const message = `no attempt is left for making ${policy.name} again below ${parent.policy.name}; if it is another call, send a different ${CallHeader.label}`;
      return failed(ResultCode.notRunNoAttemptLeft, message);
    }
    const allowance = new AttemptAllowance(grant.tokens, policy.children.length);
    parent.below.begin();
    const until = context.deadlineAt - HOP_COST_MS;
    return Ok({
      policy,
      context: {
        ...context,
        key: key.value,
        deadlineAt: deadlineAt(clock.now(), policy.deadlineMs, until),
      },
      allowance,
      // A parent that runs at most once makes each derived key once.
      keyIsSole: !own && firstOfItsName && parent.policy.execution === 'atMostOnce',
      signal: parent.signal,
      settle: (code) => {
        parent.below.end(code === ResultCode.ok);
        grant.settle(allowance.close());
      },
    });
  }

  return (request: CallRequest): Result<CallOrigin, Failure> => {
    const policy = policyOf(request.call);
    if (policy.isErr()) return policy;
    const { maxBodyBytes } = policy.value;
    if (request.body.length > maxBodyBytes) {
      const message = `the body has ${request.body.length} bytes; ${request.call} takes up to ${maxBodyBytes}`;
      return failed(ResultCode.badBodyTooLarge, message);
    }
    const parentId = request.headers[CallHeader.parent];
    if (parentId === undefined) return rootOrigin(request, policy.value);
    const parent = options.runningCalls.find(parentId);
    if (parent) return childOrigin(request, policy.value, parent);
    const message = `call ${parentId} is not running here; its answer was given or is no longer wanted`;
    return failed(ResultCode.badParentCall, message);
  };
}
