import { Agent, request } from 'undici';
import { listenHttp } from '@shallotcroft/core';

/**
 * Entry point of a minimal HTTP proxy: `node passThroughMain.js ADDRESS PORT`. It is the baseline
 * for the latency that the hop of a daemon adds.
 */

const MAX_BODY_BYTES = 1024 * 1024;
const [address, port] = process.argv.slice(2);
const agent = new Agent({ connections: 256, pipelining: 1 });
const listener = await listenHttp('127.0.0.1', 0, MAX_BODY_BYTES, async (incoming) => {
  const response = await request(`http://${address}:${port}${incoming.path}`, {
    method: 'POST',
    body: incoming.body,
    dispatcher: agent,
  });
  const body = Buffer.from(await response.body.arrayBuffer());
  return { status: response.statusCode, headers: { 'content-type': 'application/json' }, body };
});
listener.server.keepAliveTimeout = 60_000;
process.stdout.write(`${JSON.stringify({ listening: listener.port })}\n`);
