import { setTimeout as sleep } from 'node:timers/promises';
import type { RouteText } from './deployment.js';
import { runCase } from './runCase.js';
import { send } from './send.js';
import { answerAfter } from './upstream.js';

const WORK_MS = 1500;
const DEADLINE_MS = 6000;
const PAYMENTS = 10;
const FIRST_SIGNAL_MS = 300;
const NEXT_SIGNAL_MS = 500;

const pay: RouteText = {
  name: 'pay',
  host: 'jepu9.example',
  pathPrefix: '/pay/',
  kind: 'non_idempotent',
  timeoutS: 6,
  targetLatencyS: 1.5,
  priority: 0,
  service: 'payments',
  maxAttempts: 2,
};

await runCase(async (deployment, hasTrouble) => {
  const handler = answerAfter(WORK_MS);
  await deployment.start(
    [pay],
    [
      { service: 'consents', handler },
      { service: 'payments', handler },
    ],
  );
  const { record } = deployment;
  const { daemon } = deployment.machine(0);
  const { upstream } = deployment.machine(1);
  const payments = Array.from({ length: PAYMENTS }, (_, index) =>
    send(
      {
        to: daemon.outbound,
        method: 'POST',
        path: `/pay/${index}`,
        host: pay.host,
        id: `r-${index}`,
        deadlineMs: DEADLINE_MS,
      },
      record,
    ),
  );
  await sleep(FIRST_SIGNAL_MS);
  daemon.signal('SIGTERM');
  await sleep(NEXT_SIGNAL_MS);
  if (hasTrouble) daemon.signal('SIGTERM');
  const answers = await Promise.all(payments);
  const cut = answers.filter(({ isWhole }) => !isWhole);
  if (cut.length === 0) return [];
  return [
    `${cut.length} of ${upstream.runs.length} payments that had begun to run got no answer; the ` +
      `first was cut ${(cut[0]?.tookMs ?? 0) - FIRST_SIGNAL_MS} ms after the first SIGTERM`,
  ];
});
