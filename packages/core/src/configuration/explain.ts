import { depthOf, parentsOf, rootsOf, treeSizeOf } from './callGraph.js';
import { importances } from './configuration.js';
import type { CallPolicy, Configuration, Execution, Importance } from './configuration.js';

/** Calls of one importance, in the order in which they are shed. */
export interface ShedStep {
  importance: Importance;
  calls: string[];
}

/** A root call and the most attempts that its call tree may make. */
export interface RootCall {
  name: string;
  mostAttempts: number;
}

/** Resolved policy of one call, with values derived from the call graph. */
export interface Explanation {
  name: string;
  service: string;
  importance: Importance;
  /** Position of the importance in the shed order; 1 is shed first. */
  shedPlace: number;
  /** Number of importances in use. */
  shedPlaces: number;
  execution: Execution;
  keyed: boolean;
  deadlineMs: number;
  calledBy: string[];
  calls: string[];
  /** Root calls whose call trees contain this call. */
  roots: RootCall[];
  /** Number of calls on the longest downstream path, this one included. */
  depth: number;
  /** Number of calls in the call tree. */
  treeSize: number;
  attemptTokens: number;
  /** Most attempts in the call tree when this call is the root. */
  mostAttempts: number;
  shards: number;
  /** Reasons for operators, in sentences. */
  why: string[];
}

/** The order in which root calls are shed; importances without calls are left out. */
export function shedOrderOf(configuration: Configuration): ShedStep[] {
  const policies = Object.values(configuration.calls);
  return [...importances].reverse().flatMap((importance) => {
    const calls = policies.filter((policy) => policy.importance === importance);
    return calls.length > 0 ? [{ importance, calls: calls.map((policy) => policy.name) }] : [];
  });
}

function reasonsOf(policy: CallPolicy, calledBy: string[], shards: number): string[] {
  const reasons: string[] = [];
  if (policy.execution === 'atMostOnce') {
    reasons.push(
      `mayRepeat is false: all attempts with a key go to the home of one of ${shards} shards, ` +
        'which runs the call once and returns the same response to later attempts',
    );
  } else if (policy.keyed) {
    reasons.push(
      'keyed is true: its attempts share a key, from which the keys of its child calls are derived',
    );
  } else {
    reasons.push('mayRepeat is true: an attempt whose outcome is unknown may be sent again');
  }
  if (calledBy.length > 0) {
    reasons.push(
      'as a child call, it uses the importance, deadline and attempt tokens of the root',
    );
  }
  return reasons;
}

/**
 * Most attempts in the call tree of `root`: each retry, at any call, spends a token of the root and
 * repeats at most the whole tree.
 */
function maxAttemptsOf(configuration: Configuration, root: string): number {
  const tokens = configuration.calls[root]?.attemptTokens ?? 0;
  return (1 + tokens) * treeSizeOf(configuration.calls, root);
}

/** Explains one call; undefined if it is not configured. */
export function explainCall(configuration: Configuration, name: string): Explanation | undefined {
  const policy = configuration.calls[name];
  if (!policy) return undefined;
  const steps = shedOrderOf(configuration);
  const calledBy = parentsOf(configuration.calls, name);
  const treeSize = treeSizeOf(configuration.calls, name);
  const shards = configuration.services[policy.service]?.shards ?? 0;
  return {
    name,
    service: policy.service,
    importance: policy.importance,
    shedPlace: steps.findIndex((step) => step.importance === policy.importance) + 1,
    shedPlaces: steps.length,
    execution: policy.execution,
    keyed: policy.keyed ?? policy.execution === 'atMostOnce',
    deadlineMs: policy.deadlineMs,
    calledBy,
    calls: policy.children,
    roots: rootsOf(configuration.calls, name).map((root) => ({
      name: root,
      mostAttempts: maxAttemptsOf(configuration, root),
    })),
    depth: depthOf(configuration.calls, name),
    treeSize,
    attemptTokens: policy.attemptTokens,
    mostAttempts: maxAttemptsOf(configuration, name),
    shards,
    why: reasonsOf(policy, calledBy, shards),
  };
}
