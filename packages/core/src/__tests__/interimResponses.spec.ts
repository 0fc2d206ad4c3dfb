import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HttpCallTransport } from '../http/httpCallTransport.js';
import { closeHttp, listenHttp } from '../http/httpServer.js';
import type { HttpResponse } from '../http/httpServer.js';
import {
  INTERIM_INTERVAL_MS,
  INTERIM_TIMEOUT_MS,
  startInterimResponses,
} from '../calls/interimResponses.js';
import { ManualClock } from '../runtime/manualClock.js';
import { ResultCode } from '../runtime/resultCode.js';

const DEADLINE_MS = 10_000;
const SLOW_MS = 3 * INTERIM_TIMEOUT_MS;

/**
 * Advances the clock by `ms` in steps. After each step, a round trip on another connection ensures
 * that the bytes written so far have been received.
 */
async function advanceWithRoundTrips(
  clock: ManualClock,
  ms: number,
  roundTrip: () => Promise<unknown>,
) {
  for (let passed = 0; passed < ms; passed += INTERIM_INTERVAL_MS) {
    await clock.advance(INTERIM_INTERVAL_MS);
    await roundTrip();
  }
}

async function callSlowServer(sendsInterimResponses: boolean) {
  const clock = new ManualClock();
  const response: HttpResponse = { status: 200, headers: {}, body: Buffer.from('done') };
  let finish = (): void => {};
  const { server, port } = await listenHttp('127.0.0.1', 0, 1000, async (request) => {
    if (request.path === '/slow') {
      await new Promise<void>((resolve) => {
        finish = resolve;
      });
    }
    return response;
  });
  const interim = sendsInterimResponses ? startInterimResponses(server, clock) : undefined;
  const transport = new HttpCallTransport({
    clock,
    incarnation: 'test',
    idleTimeoutMs: INTERIM_TIMEOUT_MS,
    requiresEcho: true,
  });
  const send = (path: string) =>
    transport.send(
      { address: '127.0.0.1', port },
      path,
      { call: 'catalogue.search', headers: {}, body: Buffer.alloc(0) },
      { timeoutMs: DEADLINE_MS, maxResponseBytes: 1000, signal: new AbortController().signal },
    );
  const slow = send('/slow');
  await advanceWithRoundTrips(clock, SLOW_MS, () => send('/quick'));
  finish();
  const result = await slow;
  interim?.stop();
  await transport.close();
  await closeHttp(server);
  return result;
}

test('a slow server that sends interim responses does not reach the idle timeout', async () => {
  const result = await callSlowServer(true);
  assert.equal(result.unwrap().body.toString(), 'done');
});

test('a slow server without interim responses is treated as an unresponsive connection', async () => {
  const result = await callSlowServer(false);
  assert.equal(result.unwrapErr().code, ResultCode.unknownConnectionLost);
});
