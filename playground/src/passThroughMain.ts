import { Agent, request } from 'undici';
import { listenHttp } from '@shallotcroft/core';

/** Process of a bare pass-through, to compare a daemon's hop with: `ADDRESS PORT` of the target. */

const MAX_BODY_BYTES = 1024 * 1024;
const [address, port] = process.argv.slice(2);
const agent = new Agent({ connections: 256, pipelining: 1 });
const listening = await listenHttp('127.0.0.1', 0, MAX_BODY_BYTES, async (message) => {
  const answer = await request(`http://${address}:${port}${message.path}`, {
    method: 'POST',
    body: message.body,
    dispatcher: agent,
  });
  const body = Buffer.from(await answer.body.arrayBuffer());
  return { status: answer.statusCode, headers: { 'content-type': 'application/json' }, body };
});
listening.server.keepAliveTimeout = 60_000;
process.stdout.write(`${JSON.stringify({ listening: listening.port })}\n`);
