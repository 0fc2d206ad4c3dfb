import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { v7 as uuidv7 } from 'uuid';
import { AttemptAllowance } from '../attempts/attemptAllowance.js';
import type { CallRequest } from './call.js';
import { parseName } from './callContext.js';
import type { CallContext } from './callContext.js';
import { CallHeader } from './callHeaders.js';
import type { Clock } from '../runtime/clock.js';
import type { CallPolicy, Configuration } from '../configuration/configuration.js';
import { HOP_RESERVE_MS, deadlineAt, parseDeadlineMs } from './deadline.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { deriveKey, parseKey } from './idempotencyKey.js';
import { ResultCode } from '../runtime/resultCode.js';
import type { ResultNumber } from '../runtime/resultCode.js';
import type { RunningCall, RunningCalls } from './runningCalls.js';

const ANONYMOUS_CALLER = 'anonymous';

/** Policy, context and attempt allowance of a call, derived from its parent or as a new root. */
export interface CallOrigin {
  policy: CallPolicy;
  context: CallContext;
  allowance: AttemptAllowance;
  /** True when no other call can carry the same idempotency key. */
  isKeyExclusive: boolean;
  /** Aborted when the parent call no longer needs the result; undefined for a root. */
  signal: AbortSignal | undefined;
  /** Returns the unspent tokens to the parent; must be called once, when the call has ended. */
  settle(code: ResultNumber): void;
}

/** Options of `createCallOrigins`. */
export interface CallOriginOptions {
  clock: Clock;
  configuration: () => Configuration | undefined;
  /** Calls that the local target executes; parents of child calls are found here. */
  runningCalls: RunningCalls;
}

function failWith(code: ResultNumber, message: string) {
  return Err(createFailure(code, message));
}

/**
 * Creates a function that determines the origin of a request: a request with a parent header is a
 * child call, any other is a root.
 */
export function createCallOrigins(options: CallOriginOptions) {
  const { clock } = options;

  function policyOf(name: string): Result<CallPolicy, Failure> {
    const configuration = options.configuration();
    if (!configuration) {
      const message = 'no configuration has been applied yet; apply one with: shallotcroft apply';
      return failWith(ResultCode.configurationMissing, message);
    }
    const policy = configuration.calls[name];
    if (!policy) {
      const message = `call ${name} is not configured; add it to the answers file and apply it`;
      return failWith(ResultCode.badUnknownCall, message);
    }
    return Ok(policy);
  }

  /** Returns the key in lower case; undefined when there is none and the call needs none. */
  function checkKey(
    policy: CallPolicy,
    key: string | undefined,
  ): Result<string | undefined, Failure> {
    if (key) return parseKey(key);
    if (policy.execution !== 'atMostOnce' && !policy.keyed) return Ok(undefined);
    const message = `${policy.name} or one of its downstream calls may run at most once: send a UUIDv7 in the header ${CallHeader.key}, and the same one with each retry`;
    return failWith(ResultCode.badKeyMissing, message);
  }

  function rootOrigin(request: CallRequest, policy: CallPolicy): Result<CallOrigin, Failure> {
    const root = parseName(request.headers, CallHeader.root, uuidv7);
    if (root.isErr()) return root;
    const caller = parseName(request.headers, CallHeader.caller, () => ANONYMOUS_CALLER);
    if (caller.isErr()) return caller;
    const requestedTimeout = parseDeadlineMs(request.headers[CallHeader.deadline]);
    if (requestedTimeout.isErr()) return requestedTimeout;
    const key = checkKey(policy, request.headers[CallHeader.key]);
    if (key.isErr()) return key;
    const timeoutMs = Math.min(policy.deadlineMs, requestedTimeout.value ?? policy.deadlineMs);
    const context: CallContext = {
      root: root.value,
      caller: caller.value,
      importance: policy.importance,
      deadlineAt: deadlineAt(clock.now(), timeoutMs),
      key: key.value,
    };
    const allowance = new AttemptAllowance(policy.attemptTokens, policy.children.length);
    return Ok({
      policy,
      context,
      allowance,
      isKeyExclusive: request.isKeyNew ?? false,
      signal: undefined,
      settle: () => undefined,
    });
  }

  /**
   * Returns the label of a child call. Call name and label identify a child call within one
   * execution of its parent, and stay the same when the parent is executed again. A second call
   * with the same name and label is a retry, which costs a token.
   */
  function childLabel(
    request: CallRequest,
    policy: CallPolicy,
    parent: RunningCall,
  ): Result<string, Failure> {
    const label = parseName(request.headers, CallHeader.label, () => '-');
    if (label.isErr()) return label;
    const startedCount = parent.childCounts.get(policy.name) ?? 0;
    parent.childCounts.set(policy.name, startedCount + 1);
    const isUnlabelled = request.headers[CallHeader.label] === undefined;
    if (policy.execution === 'atMostOnce' && isUnlabelled && startedCount > 0) {
      const message = `${parent.policy.name} calls ${policy.name} more than once: send a different ${CallHeader.label} header with each call`;
      return failWith(ResultCode.badChildLabelMissing, message);
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
    const suppliedKey = request.headers[CallHeader.key];
    const derivedKey = context.key && deriveKey(context.key, policy.name, label.value);
    const key = checkKey(policy, suppliedKey ?? derivedKey);
    if (key.isErr()) return key;
    const isFirstOfItsName = parent.childCounts.get(policy.name) === 1;
    const grant = parent.allowance.grantForChild(`${policy.name}#${label.value}`);
    if (!grant) {
      const message = `no attempt is left to retry ${policy.name} as a child of ${parent.policy.name}; if this is a different call, send a different ${CallHeader.label} header`;
      return failWith(ResultCode.notRunNoAttemptLeft, message);
    }
    const allowance = new AttemptAllowance(grant.tokens, policy.children.length);
    parent.downstream.begin();
    const parentDeadlineAt = context.deadlineAt - HOP_RESERVE_MS;
    return Ok({
      policy,
      context: {
        ...context,
        key: key.value,
        deadlineAt: deadlineAt(clock.now(), policy.deadlineMs, parentDeadlineAt),
      },
      allowance,
      // A parent that runs at most once derives each key only once.
      isKeyExclusive: !suppliedKey && isFirstOfItsName && parent.policy.execution === 'atMostOnce',
      signal: parent.signal,
      settle: (code) => {
        parent.downstream.end(code === ResultCode.ok);
        grant.settle(allowance.close());
      },
    });
  }

  return (request: CallRequest): Result<CallOrigin, Failure> => {
    const policy = policyOf(request.call);
    if (policy.isErr()) return policy;
    const { maxBodyBytes } = policy.value;
    if (request.body.length > maxBodyBytes) {
      const message = `the body has ${request.body.length} bytes; the limit of ${request.call} is ${maxBodyBytes} bytes`;
      return failWith(ResultCode.badBodyTooLarge, message);
    }
    const parentId = request.headers[CallHeader.parent];
    if (parentId === undefined) return rootOrigin(request, policy.value);
    const parent = options.runningCalls.find(parentId);
    if (parent) return childOrigin(request, policy.value, parent);
    const message = `parent call ${parentId} is not running here; it has ended or was cancelled`;
    return failWith(ResultCode.badParentCall, message);
  };
}
