import { setTimeout as sleep } from 'node:timers/promises';
import type { RouteText } from './deployment.js';
import { runCase } from './runCase.js';
import { send } from './send.js';
import { answerAfter } from './upstream.js';

/** How long the store turns the machine away: the longest `for_s` of the site file. */
const TURNED_AWAY_MS = 9000;
const CHANGE_AFTER_MS = 200;
/** `configApplyS` and `outerBoundS`. */
const APPLY_MS = 2500 + 5000;
const DEADLINE_MS = 2000;
const WORK_MS = 20;
const SEND_INTERVAL_MS = 100;

function routeTo(service: string): RouteText {
  return {
    name: 'history',
    host: 'hulo84.example',
    pathPrefix: '/history/',
    kind: 'idempotent',
    timeoutS: 2,
    targetLatencyS: 1.5,
    priority: 2,
    maxAttempts: 2,
    service,
  };
}

await runCase(async (deployment, hasTrouble) => {
  const handler = answerAfter(WORK_MS);
  await deployment.start(
    [routeTo('consents')],
    [
      { service: 'consents', handler },
      { service: 'payments', handler },
      { service: 'ductmap', handler },
    ],
  );
  const { record, store } = deployment;
  const { daemon, upstream, storeAddress } = deployment.machine(0);
  const beganAt = Date.now();
  if (hasTrouble) {
    store.turnAway(storeAddress);
    record.add('store', { turnsAway: daemon.name });
  }
  await sleep(CHANGE_AFTER_MS);
  deployment.configure(2, [routeTo('payments')]);
  const changedAt = Date.now();
  const sentAt = new Map<string, number>();
  for (let number = 1; Date.now() < beganAt + TURNED_AWAY_MS; number++) {
    const id = `r-${number}`;
    sentAt.set(id, Date.now());
    const request = {
      to: daemon.outbound,
      method: 'GET' as const,
      path: `/history/${number}`,
      host: 'hulo84.example',
      id,
      deadlineMs: DEADLINE_MS,
    };
    await send(request, record);
    await sleep(SEND_INTERVAL_MS);
  }
  store.serveAgain(storeAddress);
  const late = upstream.runs
    .map(({ requestId }) => (sentAt.get(requestId) ?? 0) - changedAt)
    .filter((afterMs) => afterMs > APPLY_MS);
  if (late.length === 0) return [];
  return [
    `${late.length} requests, sent from ${late[0]} to ${late.at(-1)} ms after the acknowledgement ` +
      'of the version that moves their route, were run by the old service',
  ];
});
