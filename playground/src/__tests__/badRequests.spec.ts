import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { request } from 'undici';
import { CallHeader, ResultCode, mintKey, systemClock, systemRandom } from '@shallotcroft/core';
import type { CallHeaders } from '@shallotcroft/core';
import { LocalSystem } from '../localSystem.js';
import type { LocalHost } from '../localSystem.js';
import { largePrintConfiguration } from '../sessionConfiguration.js';

const CALL = 'reservations/reserve';
const HOUR_MS = 3_600_000;

let hosts: LocalHost[] = [];

function keyMintedAt(offsetMs: number): string {
  const date = new Date(Date.now() + offsetMs);
  return mintKey({ ...systemClock, date: () => date }, systemRandom);
}

async function post(path: string, headers: CallHeaders, body = '{}') {
  const port = hosts[0]?.daemon.settings.callPort;
  const response = await request(`http://127.0.0.1:${port}${path}`, {
    method: 'POST',
    headers,
    body,
  });
  const text = await response.body.text();
  return { code: Number(response.headers[CallHeader.code]), status: response.statusCode, text };
}

before(async () => {
  const system = new LocalSystem(largePrintConfiguration, 1);
  await system.accept();
  for (const service of ['reservations', 'catalogue']) {
    hosts.push(await system.startHost(`${service}-0`, service));
  }
  await LocalSystem.waitForTargets(hosts[0] as LocalHost, 2);
});

after(async () => {
  await Promise.all(hosts.map((host) => host.stop()));
  hosts = [];
});

const badRequests: [string, number, string, () => CallHeaders, string?][] = [
  ['an unknown call', ResultCode.badUnknownCall, 'reservations/steal', () => ({})],
  ['no key', ResultCode.badKeyMissing, CALL, () => ({})],
  [
    'a key that is not a UUIDv7',
    ResultCode.badKeyMalformed,
    CALL,
    () => ({ [CallHeader.key]: '7' }),
  ],
  [
    'a key from the future',
    ResultCode.badKeyFromFuture,
    CALL,
    () => ({ [CallHeader.key]: keyMintedAt(HOUR_MS) }),
  ],
  [
    'a key that is too old',
    ResultCode.badKeyExpired,
    CALL,
    () => ({ [CallHeader.key]: keyMintedAt(-HOUR_MS) }),
  ],
  [
    'an invalid deadline',
    ResultCode.badHeader,
    CALL,
    () => ({ [CallHeader.key]: keyMintedAt(0), [CallHeader.deadline]: 'soon' }),
  ],
  [
    'an invalid caller',
    ResultCode.badHeader,
    CALL,
    () => ({ [CallHeader.key]: keyMintedAt(0), [CallHeader.caller]: 'two words' }),
  ],
  ['an unknown parent', ResultCode.badParentCall, CALL, () => ({ [CallHeader.parent]: 'nobody' })],
  [
    'a body that is too large',
    ResultCode.badBodyTooLarge,
    CALL,
    () => ({ [CallHeader.key]: keyMintedAt(0) }),
    'x'.repeat(5000),
  ],
];

// Guards against an invalid request that is executed, lacks a reason or disrupts later calls.
badRequests.forEach(([name, code, path, headers, body]) => {
  test(`${name} is rejected with result code ${code}, and the daemon keeps serving`, async () => {
    const rejected = await post(`/call/${path}`, headers(), body);
    assert.equal(rejected.code, code, rejected.text);
    const { message } = JSON.parse(rejected.text) as { message: string };
    assert.ok(message.length > 0);
    const served = await post(`/call/${CALL}`, { [CallHeader.key]: keyMintedAt(0) });
    assert.equal(served.status, 200, served.text);
  });
});
