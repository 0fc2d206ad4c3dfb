import type { Answers, CallAnswers, ServiceAnswers } from './answersSchema.js';
import { parentIndexOf, topologicalOrder } from './callGraph.js';
import type { CallGraph } from './callGraph.js';
import type { CallPolicy, Configuration, Importance, ServicePolicy } from './configuration.js';

/** Independent of `upstreams`, since the number of shards must not change while keys are in use. */
const DEFAULT_SHARDS = 32;
const DEFAULT_MAX_RESPONSE_KB = 1024;
const DEFAULT_MAX_REQUEST_KB = 256;
const BYTES_PER_KB = 1024;

/** Default number of retries in the whole call tree. */
const DEFAULT_FURTHER_ATTEMPTS: Record<Importance, number> = {
  critical: 4,
  high: 3,
  normal: 2,
  low: 1,
};

/** Whether all attempts of the call share a key. */
export function isKeyed(call: CallAnswers): boolean {
  return !call.mayRepeat || call.keyed === true;
}

/** Call graph of the answers. */
export function callGraphOf(answers: Answers): CallGraph {
  return Object.fromEntries(
    Object.entries(answers.calls).map(([name, call]) => [name, { children: call.calls ?? [] }]),
  );
}

/** Deadline of each call, in milliseconds; by default, the shortest deadline of its parents. */
export function deadlinesOf(answers: Answers): Record<string, number> {
  const graph = callGraphOf(answers);
  const parents = parentIndexOf(graph);
  const deadlines: Record<string, number> = {};
  topologicalOrder(graph).forEach((name) => {
    const inherited = (parents.get(name) ?? []).map((parent) => deadlines[parent] as number);
    deadlines[name] = answers.calls[name]?.patienceMs ?? Math.min(...inherited);
  });
  return deadlines;
}

function policyOfCall(name: string, call: CallAnswers, deadlineMs: number): CallPolicy {
  return {
    name,
    service: name.split('.', 1)[0] as string,
    importance: call.importance,
    execution: call.mayRepeat ? 'repeatable' : 'atMostOnce',
    keyed: isKeyed(call),
    deadlineMs,
    attemptTokens: call.furtherAttempts ?? DEFAULT_FURTHER_ATTEMPTS[call.importance],
    maxAnswerBytes: (call.largestAnswerKb ?? DEFAULT_MAX_RESPONSE_KB) * BYTES_PER_KB,
    maxBodyBytes: (call.largestRequestKb ?? DEFAULT_MAX_REQUEST_KB) * BYTES_PER_KB,
    children: [...(call.calls ?? [])].sort(),
  };
}

function policyOfService(name: string, service: ServiceAnswers): ServicePolicy {
  return {
    name,
    slots: service.slots,
    connections: service.connections,
    limit: service.limit ?? 'adaptive',
    shards: service.shards ?? DEFAULT_SHARDS,
  };
}

function sortedByName<T extends { name: string }>(policies: T[]): Record<string, T> {
  const ordered = [...policies].sort((one, other) => (one.name < other.name ? -1 : 1));
  return Object.fromEntries(ordered.map((policy) => [policy.name, policy]));
}

/** Generates the configuration from checked answers; does not depend on the order of the answers. */
export function generateConfiguration(answers: Answers): Configuration {
  const deadlines = deadlinesOf(answers);
  return {
    revision: 0,
    changeId: '',
    objective: answers.weighsMore,
    services: sortedByName(
      Object.entries(answers.services).map(([name, service]) => policyOfService(name, service)),
    ),
    calls: sortedByName(
      Object.entries(answers.calls).map(([name, call]) =>
        policyOfCall(name, call, deadlines[name] as number),
      ),
    ),
  };
}
