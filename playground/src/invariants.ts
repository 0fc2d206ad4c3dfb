import { ResultCode, importances, isNotRun } from '@shallotcroft/core';
import type { Importance } from '@shallotcroft/core';

/** One execution at a target. */
export interface Execution {
  root: string;
  call: string;
  key: string | undefined;
  host: string;
  begunAt: number;
  /** Undefined while it runs. */
  endedAt: number | undefined;
  end: 'answered' | 'cancelled' | 'failed' | undefined;
}

/** What a caller was told. */
export interface CallerAnswer {
  root: string;
  call: string;
  importance: Importance;
  code: number;
  status: number;
  body: string;
  calledAt: number;
  /** When the caller had its answer or went away. */
  at: number;
  /** When the caller's patience ends. */
  deadlineAt: number;
  /** Most attempts that the root may cause. */
  maxAttempts: number;
}

/** What was seen in one session. */
export interface SessionRecord {
  executions: Execution[];
  answers: CallerAnswer[];
  /** Attempts that were sent to daemons, by root. */
  attempts: Map<string, number>;
  /** Calls that may run at most once. */
  atMostOnce: ReadonlySet<string>;
  /** Calls below one that may run at most once; it goes on when its caller has gone. */
  belowAtMostOnce: ReadonlySet<string>;
  /** True when the body is the whole answer to the caller's own request. */
  isOwnWholeAnswer: (answer: CallerAnswer) => boolean;
  /** Time that the network takes one way, in milliseconds. */
  latencyMs: number;
}

function checkAttempts({ answers, attempts }: SessionRecord): string[] {
  return answers
    .filter(({ root, maxAttempts }) => (attempts.get(root) ?? 0) > maxAttempts)
    .map(({ root, maxAttempts }) => `${root}: ${attempts.get(root)} attempts, of ${maxAttempts}`);
}

function checkKeys({ executions, atMostOnce }: SessionRecord): string[] {
  const seen = new Set<string>();
  const violations: string[] = [];
  executions.forEach(({ call, key }) => {
    if (!atMostOnce.has(call)) return;
    const name = `${call} with key ${key}`;
    if (key === undefined || seen.has(name)) violations.push(`${name} ran more than once`);
    seen.add(name);
  });
  return violations;
}

function checkNotRun({ answers, executions }: SessionRecord): string[] {
  return answers
    .filter(({ code }) => isNotRun(code))
    .filter(({ root, call }) => executions.some((one) => one.root === root && one.call === call))
    .map(({ root, code }) => `${root} was told "not run" (${code}) and ran`);
}

function checkWholeAnswers({ answers, isOwnWholeAnswer }: SessionRecord): string[] {
  return answers
    .filter(({ code, status }) => code === 0 && status === 200)
    .filter((answer) => !isOwnWholeAnswer(answer))
    .map(({ root, body }) => `${root} got an answer that is not its own or not whole: ${body}`);
}

/** No execution begins after its caller has gone or has stopped waiting. */
function checkUselessWork(record: SessionRecord): string[] {
  // What is on its way when a caller goes can't be called back: one way, at each of the hops.
  const slackMs = 10 * record.latencyMs;
  return record.answers.flatMap(({ root, at, deadlineAt }) =>
    record.executions
      .filter((one) => one.root === root)
      .filter(({ call, begunAt }) => {
        const kept = record.belowAtMostOnce.has(call);
        return begunAt > (kept ? deadlineAt : Math.min(at + slackMs, deadlineAt));
      })
      .map(({ call, begunAt }) => `${root}: ${call} was begun at ${begunAt}, for nobody`),
  );
}

/** No execution outlives the patience of its caller. */
function checkOutliving({ answers, executions, latencyMs }: SessionRecord): string[] {
  return answers.flatMap(({ root, deadlineAt }) =>
    executions
      .filter((one) => one.root === root)
      .filter(({ endedAt }) => endedAt === undefined || endedAt > deadlineAt + latencyMs)
      .map(({ call, endedAt }) => `${root}: ${call} ran until ${endedAt}`),
  );
}

const shedCodes = new Set<number>([ResultCode.notRunShed, ResultCode.notRunQueueTimeout]);

/** No call is shed while a less important one, which came no sooner, is let in. */
function checkShedOrder({ answers }: SessionRecord): string[] {
  const shed = answers.filter(({ code }) => shedCodes.has(code));
  const letIn = answers.filter(({ code }) => code === ResultCode.ok);
  return shed
    .filter((one) =>
      letIn.some(
        (other) =>
          importances.indexOf(other.importance) > importances.indexOf(one.importance) &&
          other.calledAt >= one.calledAt &&
          other.calledAt < one.at,
      ),
    )
    .map(({ root, importance }) => `${root} was shed before what matters less than ${importance}`);
}

/** What must hold in every session; a line for each violation. */
export function findViolations(record: SessionRecord): string[] {
  return [
    ...checkAttempts(record),
    ...checkKeys(record),
    ...checkNotRun(record),
    ...checkWholeAnswers(record),
    ...checkUselessWork(record),
    ...checkOutliving(record),
    ...checkShedOrder(record),
  ];
}
