import { setTimeout as sleep } from 'node:timers/promises';
import type { Daemon } from './daemon.js';
import type { RouteText } from './deployment.js';
import type { EventRecord } from './eventRecord.js';
import { runCase } from './runCase.js';
import { send } from './send.js';
import type { ReceivedAnswer } from './send.js';
import { answerAfter } from './upstream.js';

const DRAIN_TIMEOUT_MS = 2000;
const DEADLINE_MS = 6000;
const WORK_MS = 300;
const RESTART_MS = 500;
/** A heartbeat from before the upstream left arrives that long after the acknowledgement. */
const LATE_MS = 5000;
/** The upstream serves that long after the acknowledgement, and exits. */
const EXIT_MS = 7000;
const SEND_INTERVAL_MS = 50;
const LEAVE_AFTER_MS = 1000;

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

/** Sends payments until `endsAt`; resolves with the answers by request id. */
async function sendPayments(
  daemon: Daemon,
  record: EventRecord,
  endsAt: number,
): Promise<Map<string, ReceivedAnswer>> {
  const answers = new Map<string, ReceivedAnswer>();
  const sent: Promise<unknown>[] = [];
  for (let number = 1; Date.now() < endsAt; number++) {
    const id = `r-${number}`;
    const payment = send(
      {
        to: daemon.outbound,
        method: 'POST',
        path: `/pay/${number}`,
        host: pay.host,
        id,
        deadlineMs: DEADLINE_MS,
      },
      record,
    );
    sent.push(payment.then((answer) => answers.set(id, answer)));
    await sleep(SEND_INTERVAL_MS);
  }
  await Promise.all(sent);
  return answers;
}

await runCase(async (deployment, hasTrouble) => {
  const handler = answerAfter(WORK_MS);
  await deployment.start(
    [pay],
    [
      { service: 'consents', handler },
      { service: 'payments', handler },
      { service: 'payments', handler },
    ],
  );
  const { record } = deployment;
  const { daemon, upstream } = deployment.machine(1);
  const endsAt = Date.now() + LEAVE_AFTER_MS + EXIT_MS;
  const payments = sendPayments(deployment.machine(0).daemon, record, endsAt);
  await sleep(LEAVE_AFTER_MS);
  const lateHeartbeat = upstream.writeHeartbeat();
  const status = await upstream.leave();
  const acknowledgedAt = Date.now();
  if (hasTrouble) daemon.signal('SIGKILL');
  record.add('left', { upstream: upstream.id, answer: status });
  if (status !== 200) throw new Error('the leaving was not acknowledged');
  if (hasTrouble) {
    await sleep(RESTART_MS);
    daemon.start();
  }
  await sleep(acknowledgedAt + LATE_MS - Date.now());
  const lateStatus = await upstream.deliver(lateHeartbeat);
  record.add('late', { upstream: upstream.id, answer: lateStatus });
  await sleep(acknowledgedAt + EXIT_MS - Date.now());
  upstream.stop();
  record.add('exited', { upstream: upstream.id });
  const answers = await payments;
  const lateRuns = upstream.runs
    .map(({ requestId, at }) => ({ requestId, afterMs: at - acknowledgedAt }))
    .filter(({ afterMs }) => afterMs > DRAIN_TIMEOUT_MS);
  const lost = lateRuns.filter(({ requestId }) => answers.get(requestId)?.status !== 200);
  if (lateRuns.length === 0) return [];
  return [
    `${lateRuns.length} payments reached the upstream from ${lateRuns[0]?.afterMs} to ` +
      `${lateRuns.at(-1)?.afterMs} ms after the acknowledgement that it leaves; ` +
      `${lost.length} of them got no success`,
  ];
});
