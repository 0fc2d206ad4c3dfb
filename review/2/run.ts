// One answer without an end, in chunks of one byte, ends the daemon that reads it.
import { Connection } from '../standIns/connection.js';
import { runCase } from '../standIns/deployment.js';
import type { Deployment } from '../standIns/deployment.js';
import { sleep } from '../standIns/machine.js';

/** With TROUBLE=0 the case does the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

const PLAY_MS = 30_000;
const KEPT_CONNECTIONS = 40;
/** Most of the requests on kept connections are with their upstream at any time. */
const WORK_MS = 1200;
const STAGGER_MS = WORK_MS / KEPT_CONNECTIONS;
/** The rule allows three requests on kept connections that get no answer. */
const ALLOWED_UNANSWERED = 3;
const DEADLINE_MS = 8000;
/** One of two upstreams has one such answer in its first 50: share .5, x .02. */
const ENDLESS_EACH = 50;
const SEARCH_INTERVAL_MS = 60;
const END_MS = 300;

async function play(deployment: Deployment): Promise<object[]> {
  const ducts = await deployment.addMachine('ducts-1', 'ductmap');
  const otherDucts = await deployment.addMachine('ducts-2', 'ductmap');
  const payments = await deployment.addMachine('payments-1', 'payments');
  const answers = { workMs: 20 };
  const endless = { trouble: 'endless', troubleEach: ENDLESS_EACH } as const;
  await ducts.startUpstream({ '/ducts/': { ...answers, ...(hasTrouble && endless) } });
  await otherDucts.startUpstream({ '/ducts/': answers });
  await payments.startUpstream({ '/payments/': { workMs: WORK_MS } });
  const timeoutS = DEADLINE_MS / 1000;
  deployment.configure(3, [
    {
      name: 'pay-grantor',
      prefix: '/payments/',
      service: 'payments',
      kind: 'non_idempotent',
      timeoutS,
    },
    { name: 'duct-search', prefix: '/ducts/', service: 'ductmap', kind: 'idempotent', timeoutS },
  ]);
  await deployment.startDaemons();

  const endAt = Date.now() + PLAY_MS;
  const isOver = (): boolean => Date.now() > endAt || ducts.hasDaemonEnded();
  const breaches: object[] = [];
  let lastId = 0;

  function nextId(): string {
    lastId += 1;
    return `r${lastId}`;
  }

  /** Makes payments on a kept connection; the upstream that runs these requests is sound. */
  async function payGrantors(delayMs: number): Promise<void> {
    await sleep(delayMs);
    const connection = new Connection(ducts.outbound);
    let isKept = true;
    while (isKept) {
      const id = nextId();
      deployment.record('sent', { id, machine: ducts.name, to: 'payments' });
      const { outcome, how, status } = await connection.send({
        method: 'POST',
        url: `/payments/${id}`,
        id,
        deadlineMs: DEADLINE_MS,
        body: 'payment',
      });
      deployment.record('answered', { id, outcome, how, status });
      const isUnanswered = outcome === 'noResponse' || outcome === 'cutOff';
      if (isUnanswered && payments.runs.has(id)) breaches.push({ id, outcome, how });
      isKept = outcome === 'complete' && !isOver();
    }
    connection.destroy();
  }

  async function searchDucts(): Promise<void> {
    const id = nextId();
    deployment.record('sent', { id, machine: ducts.name, to: 'ductmap' });
    const connection = new Connection(ducts.outbound);
    const response = await connection.send({ url: `/ducts/${id}`, id, deadlineMs: DEADLINE_MS });
    const { outcome, how, status } = response;
    deployment.record('answered', { id, outcome, how, status });
    connection.destroy();
  }

  const kept = Array.from({ length: KEPT_CONNECTIONS }, (_, index) =>
    payGrantors(index * STAGGER_MS),
  );
  const searches: Promise<void>[] = [];
  while (!isOver()) {
    searches.push(searchDucts());
    await sleep(SEARCH_INTERVAL_MS);
  }
  await Promise.all([...kept, ...searches]);
  await sleep(END_MS);
  deployment.record('end of the play', { unanswered: breaches.length });
  return breaches.length > ALLOWED_UNANSWERED ? breaches : [];
}

await runCase(2, play);
