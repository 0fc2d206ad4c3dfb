import type { Answers, CallAnswers, ServiceAnswers } from './answersSchema.js';
import { parentIndexOf, parentsFirst } from './callGraph.js';
import type { CallGraph } from './callGraph.js';
import type { CallPolicy, Configuration, Importance, ServicePolicy } from './configuration.js';

/** The number of shards may not change while keys are in use, so it does not depend on upstreams. */
const DEFAULT_SHARDS = 32;
const DEFAULT_LARGEST_ANSWER_KB = 1024;
const DEFAULT_LARGEST_REQUEST_KB = 256;
const BYTES_PER_KB = 1024;

/** Further attempts end to end where the answers do not say. */
const DEFAULT_FURTHER_ATTEMPTS: Record<Importance, number> = {
  critical: 4,
  high: 3,
  normal: 2,
  low: 1,
};

/** Whether every attempt of the call carries the same key. */
export function isKeyed(call: CallAnswers): boolean {
  return !call.mayRepeat || call.keyed === true;
}

/** Which call makes which, as answered. */
export function callGraphOf(answers: Answers): CallGraph {
  return Object.fromEntries(
    Object.entries(answers.calls).map(([name, call]) => [name, { children: call.calls ?? [] }]),
  );
}

/** How long the caller of each call waits, in milliseconds; unanswered, the least patient parent's. */
export function deadlinesOf(answers: Answers): Record<string, number> {
  const graph = callGraphOf(answers);
  const parents = parentIndexOf(graph);
  const deadlines: Record<string, number> = {};
  parentsFirst(graph).forEach((name) => {
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
    maxAnswerBytes: (call.largestAnswerKb ?? DEFAULT_LARGEST_ANSWER_KB) * BYTES_PER_KB,
    maxBodyBytes: (call.largestRequestKb ?? DEFAULT_LARGEST_REQUEST_KB) * BYTES_PER_KB,
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

/** The configuration that follows from checked answers; the same answers give the same one. */
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
