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
import type { CallTreeNode } from '../sessionTarget.js';

const DEADLINE_MS = 3000;
const CONCURRENT_CALLERS = 4;
const MAX_TRIES = 100;
const RETRY_MS = 100;
const KEYED_CALL = 'reservations.reserve';

/** A daemon at the end of the call chain, a home of keys and a daemon at the start of the chain. */
const suspendedDaemons: [string, number][] = [
  ['catalogue', 0],
  ['reservations', 0],
  ['circles', 1],
];

/** A response as received by a caller. */
interface ObservedResponse {
  root: string;
  call: string;
  key: string;
  code: number;
  body: string;
}

const observedResponses: ObservedResponse[] = [];
const rootsOfKey = new Map<string, string[]>();
let deployment: Deployment;
let transport: HttpCallTransport;

async function callOnce(port: number, call: string, key: string): Promise<ObservedResponse> {
  const root = uuidv7();
  rootsOfKey.set(key, [...(rootsOfKey.get(key) ?? []), root]);
  const headers = {
    [CallHeader.root]: root,
    [CallHeader.caller]: 'convenor',
    [CallHeader.key]: key,
    [CallHeader.deadline]: String(DEADLINE_MS),
  };
  const sent = await transport.send(
    { address: '127.0.0.1', port },
    `/call/${call.replace('.', '/')}`,
    { call, headers, body: Buffer.from('{}') },
    {
      timeoutMs: DEADLINE_MS + 500,
      maxResponseBytes: 4000,
      signal: new AbortController().signal,
    },
  );
  const response = sent.isOk() ? sent.value : failureResponse(sent.error);
  const result = { root, call, key, code: resultCodeOf(response), body: response.body.toString() };
  observedResponses.push(result);
  return result;
}

function isSuccess({ code, body }: ObservedResponse): boolean {
  return code === ResultCode.ok && body.startsWith('{"call"');
}

/**
 * Retries a call until it succeeds; false after `MAX_TRIES`. The key is reused after
 * every failure except a failure response from the target itself, which is kept for the key.
 */
async function callUntilSuccess(port: number, call: string): Promise<boolean> {
  let key = uuidv7();
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    const response = await callOnce(port, call, key);
    if (isSuccess(response)) return true;
    if (response.code === ResultCode.ok) key = uuidv7();
    await systemClock.sleep(RETRY_MS);
  }
  return false;
}

/** Runs `action` with calls in flight; each caller sends the critical call twice with one key. */
async function callDuring(port: number, action: () => Promise<void>): Promise<void> {
  const calls = Array.from({ length: CONCURRENT_CALLERS }, () => {
    const key = uuidv7();
    return [
      callOnce(port, 'circles.reserve', key),
      callOnce(port, 'circles.reserve', key),
      callOnce(port, 'circles.browse', uuidv7()),
    ];
  });
  await action();
  await Promise.all(calls.flat());
}

function matchesCallTree(node: CallTreeNode, call: string, roots: string[], key: string): boolean {
  const policy = largePrintConfiguration.calls[call];
  // A keyed call has one response for all roots with its key, whichever of them started it.
  const allowedRoots = call === KEYED_CALL ? (rootsOfKey.get(key) ?? []) : roots;
  const children = policy?.children ?? [];
  return (
    node.call === call &&
    allowedRoots.includes(node.root) &&
    node.below.length === children.length &&
    children.every((child, index) =>
      matchesCallTree(node.below[index] as CallTreeNode, child, [node.root], key),
    )
  );
}

/** Asserts the invariants over all executions and responses so far. */
function checkInvariants(): void {
  const executions = deployment.executions();
  const keyed = executions.filter(({ call }) => call === KEYED_CALL).map(({ key }) => key);
  assert.equal(new Set(keyed).size, keyed.length, 'a key was executed more than once');
  observedResponses.forEach((observed) => {
    const { root, call, code, key, body } = observed;
    const executed = executions.filter((execution) => execution.root === root);
    const tokens = largePrintConfiguration.calls[call]?.attemptTokens ?? 0;
    assert.ok(executed.length <= (1 + tokens) * treeSize(largePrintConfiguration, call), root);
    if (isNotRun(code)) assert.ok(!executed.some((execution) => execution.call === call), body);
    if (isSuccess(observed)) {
      assert.ok(matchesCallTree(JSON.parse(body) as CallTreeNode, call, [root], key), body);
    }
  });
}

function hostOf(service: string, index: number): DeployedHost {
  const host = deployment.hostsOf(service).find(({ host: name }) => name === `${service}-${index}`);
  if (!host) throw new Error(`unknown host ${service}-${index}`);
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
  // A suspended process would not handle SIGTERM.
  deployment.hosts.forEach(({ daemon, target }) => {
    daemon.child.kill('SIGCONT');
    target.child.kill('SIGCONT');
  });
  await deployment.stop();
});

test('calls succeed without faults', async () => {
  const { callPort } = hostOf('circles', 0);
  assert.ok(await callUntilSuccess(callPort, 'circles.reserve'));
  await callDuring(callPort, async () => undefined);
  checkInvariants();
});

// Guards against repeated executions and false "not run" codes when a network drops or resets
// open connections.
test('unresponsive and reset connections between caller and daemon keep the invariants', async () => {
  const { callPort } = hostOf('circles', 0);
  const relay = await startRelay({ address: '127.0.0.1', port: callPort });
  await callDuring(relay.port, async () => undefined);
  await callDuring(relay.port, async () => relay.stallConnections());
  await callDuring(relay.port, async () => relay.resetConnections());
  assert.ok(await callUntilSuccess(relay.port, 'circles.reserve'));
  checkInvariants();
  await relay.close();
});

// Guards against repeated executions and false "not run" codes when a daemon is suspended and
// resumed with calls in flight, and against calls that fail afterwards.
test('a suspended and resumed daemon keeps the invariants', async () => {
  const { callPort } = hostOf('circles', 0);
  for (const [service, index] of suspendedDaemons) {
    const { daemon } = hostOf(service, index);
    daemon.child.kill('SIGSTOP');
    await callDuring(callPort, async () => undefined);
    daemon.child.kill('SIGCONT');
    assert.ok(await callUntilSuccess(callPort, 'circles.reserve'));
  }
  checkInvariants();
});

// Guards against the same failures when a target is suspended and resumed.
test('a suspended and resumed target keeps the invariants', async () => {
  const { callPort } = hostOf('circles', 0);
  const { target } = hostOf('catalogue', 1);
  target.child.kill('SIGSTOP');
  await callDuring(callPort, async () => undefined);
  target.child.kill('SIGCONT');
  assert.ok(await callUntilSuccess(callPort, 'circles.reserve'));
  checkInvariants();
});

// Guards against the same failures when processes are killed with calls in flight.
test('a killed target and a killed daemon keep the invariants', async () => {
  const { callPort } = hostOf('circles', 0);
  await callDuring(callPort, async () => {
    await hostOf('catalogue', 0).target.end('SIGKILL');
  });
  assert.ok(await callUntilSuccess(callPort, 'circles.reserve'));
  await callDuring(callPort, async () => {
    await hostOf('circles', 1).daemon.end('SIGKILL');
  });
  assert.ok(await callUntilSuccess(callPort, 'circles.reserve'));
  checkInvariants();
});
