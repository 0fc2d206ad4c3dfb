import { ResultCode, importances, isNotRun } from '@shallotcroft/core';
import type { Importance } from '@shallotcroft/core';

/** One execution at a target; times in milliseconds of the clock of the session. */
export interface Execution {
  root: string;
  call: string;
  key: string | undefined;
  host: string;
  begunAt: number;
  /** Undefined while it is running. */
  endedAt: number | undefined;
  end: 'answered' | 'cancelled' | 'failed' | undefined;
}

/** Response that a caller received; times in milliseconds of the clock of the session. */
export interface CallerResponse {
  root: string;
  call: string;
  importance: Importance;
  code: number;
  status: number;
  body: string;
  calledAt: number;
  /** Time of the response or of the cancellation. */
  endedAt: number;
  /** Deadline of the caller. */
  deadlineAt: number;
  /** Maximum number of attempts in the call tree of the root. */
  maxAttempts: number;
}

/** Events of one session, as checked by `findViolations`. */
export interface SessionRecord {
  executions: Execution[];
  responses: CallerResponse[];
  /** Number of attempts sent to daemons, by root. */
  attempts: Map<string, number>;
  /** Names of the at-most-once calls. */
  atMostOnce: ReadonlySet<string>;
  /**
   * Names of the downstream calls of at-most-once calls. They may begin after the caller has
   * disconnected, since an at-most-once call continues without its caller.
   */
  downstreamOfAtMostOnce: ReadonlySet<string>;
  /** Whether the body is the complete response to the request of this caller. */
  isCompleteOwnResponse: (response: CallerResponse) => boolean;
  /** One-way network latency, in milliseconds. */
  latencyMs: number;
}

function checkAttempts({ responses, attempts }: SessionRecord): string[] {
  return responses
    .filter(({ root, maxAttempts }) => (attempts.get(root) ?? 0) > maxAttempts)
    .map(
      ({ root, maxAttempts }) => `${root}: ${attempts.get(root)} attempts, maximum ${maxAttempts}`,
    );
}

function checkKeys({ executions, atMostOnce }: SessionRecord): string[] {
  const executed = new Set<string>();
  const violations: string[] = [];
  executions.forEach(({ call, key }) => {
    if (!atMostOnce.has(call)) return;
    const name = `${call} with key ${key}`;
    if (key === undefined || executed.has(name)) {
      violations.push(`${name} was executed more than once or without a key`);
    }
    executed.add(name);
  });
  return violations;
}

function checkNotRun({ responses, executions }: SessionRecord): string[] {
  return responses
    .filter(({ code }) => isNotRun(code))
    .filter(({ root, call }) =>
      executions.some((execution) => execution.root === root && execution.call === call),
    )
    .map(({ root, code }) => `${root} got the "not run" code ${code} but was executed`);
}

function checkResponses({ responses, isCompleteOwnResponse }: SessionRecord): string[] {
  return responses
    .filter(({ code, status }) => code === 0 && status === 200)
    .filter((response) => !isCompleteOwnResponse(response))
    .map(({ root, body }) => `${root} got an incomplete or foreign response: ${body}`);
}

/** No execution begins after its caller has disconnected or its deadline has passed. */
function checkAbandonedWork(record: SessionRecord): string[] {
  // Requests in transit cannot be cancelled: a cancellation takes the one-way latency at each hop.
  const slackMs = 10 * record.latencyMs;
  return record.responses.flatMap(({ root, endedAt: callEndedAt, deadlineAt }) =>
    record.executions
      .filter((execution) => execution.root === root)
      .filter(({ call, begunAt }) => {
        const continues = record.downstreamOfAtMostOnce.has(call);
        return begunAt > (continues ? deadlineAt : Math.min(callEndedAt + slackMs, deadlineAt));
      })
      .map(
        ({ call, begunAt }) => `${root}: ${call} began at ${begunAt}, when no caller was waiting`,
      ),
  );
}

/** No execution continues after the deadline of its caller. */
function checkDeadlines({ responses, executions, latencyMs }: SessionRecord): string[] {
  return responses.flatMap(({ root, deadlineAt }) =>
    executions
      .filter((execution) => execution.root === root)
      .filter(({ endedAt }) => endedAt === undefined || endedAt > deadlineAt + latencyMs)
      .map(({ call, endedAt }) => `${root}: ${call} ran past its deadline, until ${endedAt}`),
  );
}

const shedCodes = new Set<number>([ResultCode.notRunShed, ResultCode.notRunQueueTimeout]);

/** No call is shed while a less important one, made at the same time or later, is admitted. */
function checkShedOrder({ responses }: SessionRecord): string[] {
  const shed = responses.filter(({ code }) => shedCodes.has(code));
  const admitted = responses.filter(({ code }) => code === ResultCode.ok);
  return shed
    .filter((one) =>
      admitted.some(
        (other) =>
          importances.indexOf(other.importance) > importances.indexOf(one.importance) &&
          other.calledAt >= one.calledAt &&
          other.calledAt < one.endedAt,
      ),
    )
    .map(
      ({ root, importance }) =>
        `${root} was shed while a call less important than ${importance} was admitted`,
    );
}

/** Checks the invariants of every session; returns a line for each violation. */
export function findViolations(record: SessionRecord): string[] {
  return [
    ...checkAttempts(record),
    ...checkKeys(record),
    ...checkNotRun(record),
    ...checkResponses(record),
    ...checkAbandonedWork(record),
    ...checkDeadlines(record),
    ...checkShedOrder(record),
  ];
}
