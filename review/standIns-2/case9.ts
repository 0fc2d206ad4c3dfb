import { setTimeout as sleep } from 'node:timers/promises';
import type { Machine, RouteText } from './deployment.js';
import type { EventRecord } from './eventRecord.js';
import { runCase } from './runCase.js';
import { send } from './send.js';
import type { ReceivedAnswer } from './send.js';
import { answerAfter } from './upstream.js';

const TIMEOUT_S = 1;
const TIMEOUT_MS = 1000;
/** Time after the timeout of its route from which a request without an answer counts. */
const SLACK_MS = 500;
const MIN_COUNTED = 8;
const WORK_MS = 60;
const SEND_INTERVAL_MS = 50;
const SEND_MS = 4000;
const SPLIT_EACH = 10;
const APPLY_MS = 2000;
const DEADLINE_MS = 6000;

const common = {
  host: 'hulo84.example',
  kind: 'idempotent' as const,
  timeoutS: TIMEOUT_S,
  targetLatencyS: 1,
  priority: 2,
  maxAttempts: 2,
};
const plain: RouteText = {
  ...common,
  name: 'plain',
  pathPrefix: '/plain/',
  service: 'payments',
};
const unsplit: RouteText = {
  ...common,
  name: 'split',
  pathPrefix: '/split/',
  service: 'consents',
};
/** Three parts in four, and one in four. */
const split: RouteText = {
  ...common,
  name: 'split',
  pathPrefix: '/split/',
  trafficSplit: [
    { service: 'consents', weight: 3_000_000_000 },
    { service: 'payments', weight: 1_000_000_000 },
  ],
};

/** Sends requests to both routes at a machine for a time; resolves with the answers. */
async function sendRequests({ daemon }: Machine, record: EventRecord): Promise<ReceivedAnswer[]> {
  const sent: Promise<ReceivedAnswer>[] = [];
  const endsAt = Date.now() + SEND_MS;
  for (let number = 1; Date.now() < endsAt; number++) {
    const { host, pathPrefix } = number % SPLIT_EACH === 0 ? split : plain;
    const request = {
      to: daemon.outbound,
      method: 'GET' as const,
      path: `${pathPrefix}${number}`,
      host,
      id: `${daemon.name}-${number}`,
      deadlineMs: DEADLINE_MS,
    };
    sent.push(send(request, record));
    await sleep(SEND_INTERVAL_MS);
  }
  return Promise.all(sent);
}

await runCase(async (deployment, hasTrouble) => {
  const handler = answerAfter(WORK_MS);
  await deployment.start(
    [plain, unsplit],
    [
      { service: 'consents', handler },
      { service: 'payments', handler },
      { service: 'payments', handler },
    ],
  );
  const { record, machines } = deployment;
  if (hasTrouble) deployment.configure(2, [plain, split]);
  await sleep(APPLY_MS);
  const answers = await Promise.all(machines.map((machine) => sendRequests(machine, record)));
  const isOpenAfter = (ms: number) => (answer: ReceivedAnswer) =>
    answer.status === 0 || answer.tookMs > ms;
  const open = answers.flat().filter(isOpenAfter(TIMEOUT_MS));
  const late = open.filter(isOpenAfter(TIMEOUT_MS + SLACK_MS));
  const sent = answers.flat().length;
  record.add('counted', { sent, openAtTimeout: open.length, openLater: late.length });
  if (late.length < MIN_COUNTED || late.length <= open.length / 2) return [];
  return [
    `of ${open.length} requests without an answer at their route's timeout, ${late.length} had ` +
      `none ${SLACK_MS} ms later`,
  ];
});
