import { depthOf, parentsOf, rootsOf, treeSizeOf } from './callGraph.js';
import { importances } from './configuration.js';
import type { CallPolicy, Configuration, Execution, Importance } from './configuration.js';

/** Calls of one importance, in the order in which they are shed. */
export interface ShedStep {
  importance: Importance;
  calls: string[];
}

/** A call from outside, with the attempts that it may cause in its whole tree. */
export interface RootCall {
  name: string;
  mostAttempts: number;
}

/** Everything that follows from the answers for one call. */
export interface Explanation {
  name: string;
  service: string;
  importance: Importance;
  /** 1 is shed first. */
  shedPlace: number;
  /** Number of places in use. */
  shedPlaces: number;
  execution: Execution;
  keyed: boolean;
  deadlineMs: number;
  calledBy: string[];
  calls: string[];
  /** Calls from outside that reach this one. */
  roots: RootCall[];
  /** Services in a row, this one included. */
  depth: number;
  treeSize: number;
  attemptTokens: number;
  /** Attempts end to end, at most, when this call comes from outside. */
  mostAttempts: number;
  shards: number;
  /** Reasons in words. */
  why: string[];
}

/** The order in which calls that come from outside are shed; importances without calls are left out. */
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
      `mayRepeat is false: every attempt of a key goes to the home of one of ${shards} shards, ` +
        'which runs it once and gives later attempts the same answer',
    );
  } else if (policy.keyed) {
    reasons.push('keyed is true: its attempts share a key, from which the keys below are derived');
  } else {
    reasons.push('mayRepeat is true: an attempt whose outcome is unknown may be sent again');
  }
  if (calledBy.length > 0) {
    reasons.push('below another call, the importance, deadline and attempts of the root count');
  }
  return reasons;
}

/** First attempts follow the call graph; each further one, anywhere, spends a token of the root. */
function mostAttemptsOf(configuration: Configuration, root: string): number {
  const tokens = configuration.calls[root]?.attemptTokens ?? 0;
  return (1 + tokens) * treeSizeOf(configuration.calls, root);
}

/** Explains one call, or undefined when it is not configured. */
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
      mostAttempts: mostAttemptsOf(configuration, root),
    })),
    depth: depthOf(configuration.calls, name),
    treeSize,
    attemptTokens: policy.attemptTokens,
    mostAttempts: mostAttemptsOf(configuration, name),
    shards,
    why: reasonsOf(policy, calledBy, shards),
  };
}
