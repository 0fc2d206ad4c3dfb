import { setTimeout as sleep } from 'node:timers/promises';
import type { Daemon } from './daemon.js';
import type { RouteText } from './deployment.js';
import type { EventRecord } from './eventRecord.js';
import { runCase } from './runCase.js';
import { send } from './send.js';
import type { ReceivedAnswer } from './send.js';
import { answerAfter } from './upstream.js';
import type { UpstreamHandler } from './upstream.js';

const DEADLINE_MS = 6000;
const CALL_WORK_MS = 300;
/** One call takes that many times as long, as `tail_x` of the site file says. */
const TAIL_X = 5;
/** It is the first one that is run that long after the SIGTERM. */
const TAIL_AFTER_MS = 3850;
const STOP_AFTER_MS = 200;
/** Payments before the stop, from which the daemon knows how long they take. */
const EARLIER_PAYMENTS = 30;
/** Time after the SIGTERM up to which the rule has an exception for long requests. */
const EXCEPTION_MS = 3000;
const SETTLE_MS = 1000;

const common = {
  host: 'hulo84.example',
  timeoutS: 6,
  targetLatencyS: 1.5,
  maxAttempts: 2,
};
const pages: RouteText = {
  ...common,
  name: 'pages',
  pathPrefix: '/pages/',
  kind: 'idempotent',
  priority: 2,
  service: 'consents',
};
const pay: RouteText = {
  ...common,
  name: 'pay',
  pathPrefix: '/pay/',
  kind: 'non_idempotent',
  priority: 0,
  service: 'payments',
};

interface Payment {
  id: string;
  sentAt: number;
  answer: ReceivedAnswer;
}

async function sendPayment(
  { outbound }: Daemon,
  record: EventRecord,
  id: string,
  deadlineMs: number,
): Promise<Payment> {
  const sentAt = Date.now();
  const request = {
    to: outbound,
    method: 'POST' as const,
    path: '/pay/1',
    host: pay.host,
    id,
    deadlineMs,
  };
  return { id, sentAt, answer: await send(request, record) };
}

await runCase(async (deployment, hasTrouble) => {
  const { record } = deployment;
  const calls: Payment[] = [];
  let tailFrom = Infinity;
  const runPayment: UpstreamHandler = (incoming, response) => {
    const isTail = Date.now() >= tailFrom;
    if (isTail) tailFrom = Infinity;
    answerAfter(isTail ? TAIL_X * CALL_WORK_MS : CALL_WORK_MS)(incoming, response);
  };
  /** Makes one payment after the other until little time is left, each by a call of its own. */
  const runPage: UpstreamHandler = (incoming, response) => {
    const deadlineAt = Date.now() + Number(incoming.headers['deadline-ms']);
    const id = String(incoming.headers['request-id']);
    const { daemon } = deployment.machine(0);
    const makeCalls = async (): Promise<void> => {
      for (let number = 1; deadlineAt - Date.now() > 2 * CALL_WORK_MS; number++) {
        const leftMs = deadlineAt - Date.now();
        calls.push(await sendPayment(daemon, record, `${id}.${number}`, leftMs));
      }
      answerAfter(0)(incoming, response);
    };
    makeCalls().catch(() => incoming.socket.destroy());
  };
  await deployment.start(
    [pages, pay],
    [
      { service: 'consents', handler: runPage },
      { service: 'payments', handler: runPayment },
      { service: 'ductmap', handler: runPayment },
    ],
  );
  const { daemon } = deployment.machine(0);
  const earlier = Array.from({ length: EARLIER_PAYMENTS }, (_, index) =>
    sendPayment(daemon, record, `earlier-${index}`, DEADLINE_MS),
  );
  await Promise.all(earlier);
  const page = send(
    {
      to: deployment.machine(2).daemon.outbound,
      method: 'GET',
      path: '/pages/1',
      host: pages.host,
      id: 'page',
      deadlineMs: DEADLINE_MS,
    },
    record,
  );
  await sleep(STOP_AFTER_MS);
  const stoppedAt = Date.now();
  tailFrom = stoppedAt + TAIL_AFTER_MS;
  if (hasTrouble) daemon.signal('SIGTERM');
  await page;
  // The answer to the last call may come a little later.
  await sleep(SETTLE_MS);
  const ran = new Set(deployment.machine(1).upstream.runs.map(({ requestId }) => requestId));
  const broken = calls.filter(
    ({ id, sentAt, answer }) =>
      ran.has(id) &&
      sentAt > stoppedAt + EXCEPTION_MS &&
      answer.signature === undefined &&
      answer.reason !== 'deadline' &&
      answer.status !== 504,
  );
  return broken.map(
    ({ id, sentAt, answer }) =>
      `the payment ${id}, sent ${sentAt - stoppedAt} ms after the SIGTERM, was at work and got ` +
      `${answer.status === 0 ? 'no answer' : answer.status} at ` +
      `${sentAt + answer.tookMs - stoppedAt} ms`,
  );
});
