import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { v7 as uuidv7 } from 'uuid';
import {
  CallHeader,
  HttpCallTransport,
  ResultCode,
  RpcPeerCaller,
  failureResponse,
  resultCodeOf,
  isNotRun,
  systemClock,
} from '@shallotcroft/core';
import { startDeployment } from '../deployment.js';
import type { DeployedHost, Deployment } from '../deployment.js';
import { waitUntilReady } from '../readiness.js';
import { startRelay } from '../relay.js';
import { largePrintConfiguration, treeSize } from '../sessionConfiguration.js';
import type { AnswerPart } from '../sessionTarget.js';

const PATIENCE_MS = 3000;
const CALLS_AT_ONCE = 4;
const MOST_TRIES = 100;
const RETRY_MS = 100;
const KEYED_CALL = 'reservations.reserve';

/** One at the end of the chain, one home of keys, one at its top. */
const stoppedDaemons: [string, number][] = [
  ['catalogue', 0],
  ['reservations', 0],
  ['circles', 1],
];

interface Told {
  root: string;
  call: string;
  key: string;
  code: number;
  body: string;
}

const told: Told[] = [];
const rootsOfKey = new Map<string, string[]>();
let deployment: Deployment;
let transport: HttpCallTransport;

async function callOnce(port: number, call: string, key: string): Promise<Told> {
  const root = uuidv7();
  rootsOfKey.set(key, [...(rootsOfKey.get(key) ?? []), root]);
  const headers = {
    [CallHeader.root]: root,
    [CallHeader.caller]: 'convenor',
    [CallHeader.key]: key,
    [CallHeader.deadline]: String(PATIENCE_MS),
  };
  const sent = await transport.send(
    { address: '127.0.0.1', port },
    `/call/${call.replace('.', '/')}`,
    { call, headers, body: Buffer.from('{}') },
    {
      timeoutMs: PATIENCE_MS + 500,
      maxResponseBytes: 4000,
      signal: new AbortController().signal,
    },
  );
  const response = sent.isOk() ? sent.value : failureResponse(sent.error);
  const result = { root, call, key, code: resultCodeOf(response), body: response.body.toString() };
  told.push(result);
  return result;
}

function isWhole({ code, body }: Told): boolean {
  return code === ResultCode.ok && body.startsWith('{"call"');
}

/**
 * A caller that tries hard: the same key again while the outcome is not settled, and a new one
 * once the target itself has answered that it failed.
 */
async function callUntilWhole(port: number, call: string): Promise<boolean> {
  let key = uuidv7();
  for (let tries = 0; tries < MOST_TRIES; tries++) {
    const answer = await callOnce(port, call, key);
    if (isWhole(answer)) return true;
    if (answer.code === ResultCode.ok) key = uuidv7();
    await systemClock.sleep(RETRY_MS);
  }
  return false;
}

/** Calls of both kinds while something happens; callers retry the important ones at once. */
async function callDuring(port: number, act: () => Promise<void>): Promise<void> {
  const calls = Array.from({ length: CALLS_AT_ONCE }, () => {
    const key = uuidv7();
    return [
      callOnce(port, 'circles.reserve', key),
      callOnce(port, 'circles.reserve', key),
      callOnce(port, 'circles.browse', uuidv7()),
    ];
  });
  await act();
  await Promise.all(calls.flat());
}

function isOwnPart(part: AnswerPart, call: string, owners: string[], key: string): boolean {
  const policy = largePrintConfiguration.calls[call];
  // A keyed call has one answer, whichever attempt with its key began it.
  const allowed = call === KEYED_CALL ? (rootsOfKey.get(key) ?? []) : owners;
  const children = policy?.children ?? [];
  return (
    part.call === call &&
    allowed.includes(part.root) &&
    part.below.length === children.length &&
    children.every((child, index) =>
      isOwnPart(part.below[index] as AnswerPart, child, [part.root], key),
    )
  );
}

function checkInvariants(): void {
  const executions = deployment.executions();
  const keyed = executions.filter(({ call }) => call === KEYED_CALL).map(({ key }) => key);
  assert.equal(new Set(keyed).size, keyed.length, 'a key ran more than once');
  told.forEach((one) => {
    const { root, call, code, key, body } = one;
    const own = executions.filter((execution) => execution.root === root);
    const tokens = largePrintConfiguration.calls[call]?.attemptTokens ?? 0;
    assert.ok(own.length <= (1 + tokens) * treeSize(largePrintConfiguration, call), root);
    if (isNotRun(code)) assert.ok(!own.some((execution) => execution.call === call), body);
    if (isWhole(one)) assert.ok(isOwnPart(JSON.parse(body) as AnswerPart, call, [root], key), body);
  });
}

function hostOf(service: string, index: number): DeployedHost {
  const host = deployment.hostsOf(service).find(({ host: name }) => name === `${service}-${index}`);
  if (!host) throw new Error(`no host ${service}-${index}`);
  return host;
}

before(async () => {
  transport = new HttpCallTransport({ clock: systemClock, incarnation: uuidv7() });
  deployment = await startDeployment({
    configuration: largePrintConfiguration,
    dataCentres: ['hobart'],
    targetsPerService: 2,
    workMs: 2,
    logLevel: 'error',
    interimAnswers: true,
    logsExecutions: true,
  });
  const peers = new RpcPeerCaller();
  await waitUntilReady(deployment, peers, largePrintConfiguration.revision);
  await peers.close();
});

after(async () => {
  await transport.close();
  // A process that is still stopped would not hear the signal to end.
  deployment.hosts.forEach(({ daemon, target }) => {
    daemon.child.kill('SIGCONT');
    target.child.kill('SIGCONT');
  });
  await deployment.stop();
});

test('calls are whole while nothing is wrong', async () => {
  const { callPort } = hostOf('circles', 0);
  assert.ok(await callUntilWhole(callPort, 'circles.reserve'));
  await callDuring(callPort, async () => undefined);
  checkInvariants();
});

test('a silent or reset connection between caller and daemon', async () => {
  const { callPort } = hostOf('circles', 0);
  const relay = await startRelay({ address: '127.0.0.1', port: callPort });
  await callDuring(relay.port, async () => undefined);
  await callDuring(relay.port, async () => relay.forgetConnections());
  await callDuring(relay.port, async () => relay.resetConnections());
  assert.ok(await callUntilWhole(relay.port, 'circles.reserve'));
  checkInvariants();
  await relay.close();
});

test('a daemon that is stopped and goes on', async () => {
  const { callPort } = hostOf('circles', 0);
  for (const [service, index] of stoppedDaemons) {
    const { daemon } = hostOf(service, index);
    daemon.child.kill('SIGSTOP');
    await callDuring(callPort, async () => undefined);
    daemon.child.kill('SIGCONT');
    assert.ok(await callUntilWhole(callPort, 'circles.reserve'));
  }
  checkInvariants();
});

test('a target that is stopped and goes on', async () => {
  const { callPort } = hostOf('circles', 0);
  const { target } = hostOf('catalogue', 1);
  target.child.kill('SIGSTOP');
  await callDuring(callPort, async () => undefined);
  target.child.kill('SIGCONT');
  assert.ok(await callUntilWhole(callPort, 'circles.reserve'));
  checkInvariants();
});

test('a target and then a daemon that are killed', async () => {
  const { callPort } = hostOf('circles', 0);
  await callDuring(callPort, async () => {
    await hostOf('catalogue', 0).target.end('SIGKILL');
  });
  assert.ok(await callUntilWhole(callPort, 'circles.reserve'));
  await callDuring(callPort, async () => {
    await hostOf('circles', 1).daemon.end('SIGKILL');
  });
  assert.ok(await callUntilWhole(callPort, 'circles.reserve'));
  checkInvariants();
});
