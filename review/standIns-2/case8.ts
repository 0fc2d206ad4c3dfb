import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { RouteText } from './deployment.js';
import type { EventRecord } from './eventRecord.js';
import { runCase } from './runCase.js';
import { answerAfter } from './upstream.js';

const WORK_MS = 500;
const DEADLINE_MS = 5000;
const CONNECTIONS = 4;
const REQUESTS_PER_CONNECTION = 4;
const STOP_AFTER_MS = 200;
const HEAD_END = '\r\n\r\n';

const history: RouteText = {
  name: 'history',
  host: 'hulo84.example',
  pathPrefix: '/history/',
  kind: 'idempotent',
  timeoutS: 5,
  targetLatencyS: 1.5,
  priority: 2,
  service: 'payments',
  maxAttempts: 2,
};

/** Ids of the requests that a text answers completely, each with a body of a known length. */
function answeredIds(text: string): string[] {
  const ids: string[] = [];
  let rest = text;
  for (;;) {
    const headEnd = rest.indexOf(HEAD_END);
    if (headEnd < 0) return ids;
    const head = rest.slice(0, headEnd);
    const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1]);
    const end = headEnd + HEAD_END.length + length;
    if (!(rest.length >= end)) return ids;
    ids.push(/^request-id: (.*)$/im.exec(head)?.[1] ?? '');
    rest = rest.slice(end);
  }
}

/** Sends requests one after the other on a connection, without waiting for the answers. */
function sendTogether(to: string, ids: string[], record: EventRecord): Promise<string[]> {
  const [host = '', port] = to.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    let text = '';
    let deadline: NodeJS.Timeout | undefined;
    const finish = (reason: string): void => {
      clearTimeout(deadline);
      socket.removeAllListeners('close').destroy();
      const answered = answeredIds(text);
      record.add('answered', { requests: answered.join(','), reason });
      resolve(answered);
    };
    deadline = setTimeout(() => finish('deadline'), DEADLINE_MS);
    socket.on('connect', () => {
      const requests = ids.map((id) =>
        [
          `GET /history/${id} HTTP/1.1`,
          `Host: ${history.host}`,
          `Request-Id: ${id}`,
          `Deadline-Ms: ${DEADLINE_MS}`,
        ].join('\r\n'),
      );
      record.add('sent', { to, requests: ids.join(',') });
      socket.write(requests.map((request) => request + HEAD_END).join(''));
    });
    socket.on('data', (piece) => {
      text += piece.toString('latin1');
      if (answeredIds(text).length === ids.length) finish('whole');
    });
    socket.on('error', ({ message }) => record.add('failed', { reason: message }));
    socket.on('close', () => finish('closed'));
  });
}

await runCase(async (deployment, hasTrouble) => {
  const handler = answerAfter(WORK_MS);
  await deployment.start(
    [history],
    [
      { service: 'consents', handler },
      { service: 'payments', handler },
    ],
  );
  const { record } = deployment;
  const { daemon } = deployment.machine(0);
  const { upstream } = deployment.machine(1);
  const sent = Array.from({ length: CONNECTIONS }, (_, connection) => {
    const ids = Array.from({ length: REQUESTS_PER_CONNECTION }, (__, n) => `r-${connection}-${n}`);
    return sendTogether(daemon.outbound, ids, record);
  });
  await sleep(STOP_AFTER_MS);
  const passedOn = upstream.runs.map(({ requestId }) => requestId);
  if (hasTrouble) daemon.signal('SIGTERM');
  const answered = new Set((await Promise.all(sent)).flat());
  const lost = passedOn.filter((id) => !answered.has(id));
  record.add('counted', { passedOn: passedOn.length, lost: lost.join(',') });
  if (lost.length === 0) return [];
  return [
    `${lost.length} of ${passedOn.length} requests that were at work before the SIGTERM got no answer`,
  ];
});
