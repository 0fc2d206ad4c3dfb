import { setTimeout as sleep } from 'node:timers/promises';
import type { RouteText } from './deployment.js';
import { runCase } from './runCase.js';
import { send } from './send.js';
import type { UpstreamHandler } from './upstream.js';

const DEADLINE_MS = 6000;
/** More than the buffers of a loopback connection hold. */
const body = Buffer.alloc(16 * 1024 * 1024, 'x');
const READ_BYTES_PER_S = 4 * 1024 * 1024;
const KILL_AFTER_MS = 200;
const RESTART_MS = 500;

const history: RouteText = {
  name: 'history',
  host: 'hulo84.example',
  pathPrefix: '/history/',
  kind: 'idempotent',
  timeoutS: 6,
  targetLatencyS: 1.5,
  priority: 2,
  service: 'consents',
  maxAttempts: 2,
};

/** Answers with 200 and a body without a length, which ends with the connection. */
const answerWithoutLength: UpstreamHandler = (_incoming, response) => {
  response.useChunkedEncodingByDefault = false;
  response.writeHead(200, { 'Response-Signature': 'signed', Connection: 'close' });
  response.end(body);
};

await runCase(async (deployment, hasTrouble) => {
  const handler = answerWithoutLength;
  await deployment.start(
    [history],
    [
      { service: 'payments', handler },
      { service: 'consents', handler },
    ],
  );
  const { record } = deployment;
  const { daemon } = deployment.machine(0);
  const kill = async (): Promise<void> => {
    await sleep(KILL_AFTER_MS);
    daemon.signal('SIGKILL');
    await sleep(RESTART_MS);
    daemon.start();
  };
  let killed: Promise<void> | undefined;
  const answer = await send(
    {
      to: daemon.outbound,
      method: 'GET',
      path: '/history/1',
      host: history.host,
      id: 'r-1',
      deadlineMs: DEADLINE_MS,
    },
    record,
    {
      bytesPerS: READ_BYTES_PER_S,
      onHead: () => {
        if (hasTrouble) killed = kill();
      },
    },
  );
  await killed;
  const isSuccess = answer.status === 200 && answer.signature === 'signed' && answer.isWhole;
  if (!hasTrouble && !isSuccess) throw new Error('no answer without a disruption');
  if (!isSuccess || answer.bodyBytes === body.length) return [];
  return [`a success that looks whole has ${answer.bodyBytes} of ${body.length} bytes`];
});
