import type { RouteText } from './deployment.js';
import { runCase } from './runCase.js';
import { send } from './send.js';
import type { UpstreamHandler } from './upstream.js';

const DEADLINE_MS = 6000;
const GRACE_PERIOD_MS = 6000;
/** More than the buffers of a loopback connection hold. */
const body = Buffer.alloc(20 * 1024 * 1024, 'x');
/** The client reads slowly at first, and then as fast as it can. */
const READ_BYTES_PER_S = 1024 * 1024;
const SLOW_MS = 4000;

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

const answerWithLength: UpstreamHandler = (_incoming, response) => {
  response.writeHead(200, { 'Response-Signature': 'signed', 'Content-Length': body.length });
  response.end(body);
};

await runCase(async (deployment, hasTrouble) => {
  const handler = answerWithLength;
  await deployment.start(
    [pay],
    [
      { service: 'consents', handler },
      { service: 'payments', handler },
    ],
  );
  const { record } = deployment;
  const { daemon } = deployment.machine(0);
  let stoppedAt = 0;
  const answer = await send(
    {
      to: daemon.outbound,
      method: 'POST',
      path: '/pay/1',
      host: pay.host,
      id: 'r-1',
      deadlineMs: DEADLINE_MS,
    },
    record,
    {
      bytesPerS: READ_BYTES_PER_S,
      slowMs: SLOW_MS,
      onHead: () => {
        if (!hasTrouble) return;
        stoppedAt = Date.now();
        daemon.signal('SIGTERM');
      },
    },
  );
  if (deployment.machine(1).upstream.runs.length !== 1) throw new Error('it did not run once');
  if (answer.isWhole) return [];
  if (!hasTrouble) throw new Error('no answer without a disruption');
  // The rule does not count a request that has reached its deadline.
  if (answer.reason === 'deadline') return [];
  const endedMs = (await daemon.ended) - stoppedAt;
  if (endedMs >= GRACE_PERIOD_MS) return [];
  return [
    `a payment ran, and its answer was cut at ${answer.bodyBytes} of ${answer.length} bytes by a ` +
      `process that ended ${endedMs} ms after its SIGTERM`,
  ];
});
