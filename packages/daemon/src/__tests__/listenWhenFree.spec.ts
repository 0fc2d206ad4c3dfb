import assert from 'node:assert/strict';
import { test } from 'node:test';
import { closeHttp, listenHttp, silentLogger, systemClock } from '@shallotcroft/core';
import type { HttpHandler } from '@shallotcroft/core';
import { listenWhenFree } from '../listenWhenFree.js';

const handler: HttpHandler = async () => ({ status: 200, headers: {}, body: Buffer.alloc(0) });

// A daemon that was started while its former process was ending did not start.
test('a listener whose port is in use starts when the port becomes free', async () => {
  const former = await listenHttp('127.0.0.1', 0, 1000, handler);
  const { port } = former;
  const options = { clock: systemClock, logger: silentLogger, port };
  const started = listenWhenFree(options, () => listenHttp('127.0.0.1', port, 1000, handler));
  await systemClock.sleep(150);
  await closeHttp(former.server);
  const { server } = await started;
  await closeHttp(server);
});

test('an error other than a port in use is not retried', async () => {
  let tries = 0;
  const options = { clock: systemClock, logger: silentLogger, port: 1 };
  const started = listenWhenFree(options, async () => {
    tries += 1;
    throw Object.assign(new Error('no such address'), { code: 'EADDRNOTAVAIL' });
  });
  await assert.rejects(started, /no such address/);
  assert.equal(tries, 1);
});
