import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import {
  EtcdStore,
  RpcPeerCaller,
  parseSettings,
  silentLogger,
  systemClock,
  systemRandom,
} from '@shallotcroft/core';
import type { PeerAddress } from '@shallotcroft/core';
import { readExample, runProgram } from '@shallotcroft/cli';
import { startDaemon } from '@shallotcroft/daemon';
import { startStoreStandIn } from '../storeStandIn.js';

const LOOPBACK = '127.0.0.1';
const POLL_MS = 50;
const MAX_POLLS = 400;

interface Status {
  revision: number;
  daemons: { standing: string; member: { host: string; state: string } }[];
}

async function startFleet(context: TestContext, hosts: string[]) {
  const standIn = await startStoreStandIn({ clock: systemClock });
  const store = `http://${LOOPBACK}:${standIn.port}`;
  const started: PeerAddress[] = [];
  const stops: (() => Promise<void>)[] = [() => standIn.close()];
  for (const host of hosts) {
    const bootstrap = started.map(({ port }) => `{ address: ${LOOPBACK}, port: ${port} }`);
    const text = [
      `host: ${host}`,
      'dataCentre: hobart',
      `address: ${LOOPBACK}`,
      'callPort: 0',
      'peerPort: 0',
      `bootstrap: [${bootstrap.join(', ')}]`,
    ].join('\n');
    const daemonStore = new EtcdStore({
      endpoints: [store],
      clock: systemClock,
      random: systemRandom,
    });
    const daemon = await startDaemon({
      settings: parseSettings({ file: host, text }).unwrap(),
      clock: systemClock,
      random: systemRandom,
      logger: silentLogger,
      store: daemonStore,
    });
    started.push({ address: LOOPBACK, port: daemon.settings.peerPort });
    stops.unshift(async () => {
      await daemon.stop();
      await daemonStore.close();
    });
  }
  context.after(async () => {
    for (const stop of stops) await stop();
  });
  return { standIn, store, peers: started };
}

/** Runs a command line over real connections; returns its exit code and output. */
async function runCommand(line: string, answers: string): Promise<{ code: number; text: string }> {
  const peers = new RpcPeerCaller();
  const lines: string[] = [];
  const code = await runProgram(line.split(' '), {
    output: { print: (text) => lines.push(text), printError: (text) => lines.push(text) },
    files: { read: () => answers, write: () => undefined },
    variables: {},
    clock: systemClock,
    random: systemRandom,
    peers,
    ask: async () => '',
    openStore: (endpoints) =>
      new EtcdStore({ endpoints, clock: systemClock, random: systemRandom }),
  });
  await peers.close();
  return { code, text: lines.join('\n') };
}

/** Polls the status until `isWanted` holds. */
async function statusUntil(peer: PeerAddress, isWanted: (status: Status) => boolean) {
  for (let poll = 0; poll < MAX_POLLS; poll++) {
    const { code, text } = await runCommand(
      `status --json --daemon ${peer.address}:${peer.port}`,
      '',
    );
    assert.equal(code, 0, text);
    const status = JSON.parse(text) as Status;
    if (isWanted(status)) return;
    await systemClock.sleep(POLL_MS);
  }
  assert.fail('no daemon status met the condition in time');
}

// Guards against a daemon that falls back to an older revision, or to none, when the store is down,
// and against a lost response of the store that hides a write which was applied late.
test('an applied configuration comes into force at all daemons and stays in force while the store is down', async (context) => {
  const { standIn, store, peers } = await startFleet(context, ['catalogue-1', 'circles-1']);
  const [first, second] = peers as [PeerAddress, PeerAddress];
  const answers = readExample('reading-circles');
  const inForce = (revision: number) => (status: Status) =>
    status.daemons.length === 2 &&
    status.revision === revision &&
    status.daemons.every(({ standing }) => standing === 'inForce');

  assert.equal((await runCommand(`apply --base 0 --store ${store}`, answers)).code, 0);
  await statusUntil(first, inForce(1));
  await standIn.setFaults({ loseNextAnswer: 'late' });
  const changed = answers.replace('weighsMore: goodput', 'weighsMore: recovery');
  assert.equal((await runCommand(`apply --base 1 --store ${store}`, changed)).code, 0);
  await standIn.setFaults({ landLateWrites: true });
  await statusUntil(second, inForce(2));

  await standIn.setFaults({ down: true });
  assert.equal((await runCommand(`apply --store ${store}`, answers)).code, 5);
  await statusUntil(first, inForce(2));
  await standIn.setFaults({ down: false });
  assert.equal((await runCommand(`apply --store ${store}`, answers)).code, 0);
  await statusUntil(first, inForce(3));

  const daemon = `--daemon ${first.address}:${first.port}`;
  assert.equal((await runCommand(`drain circles-1 ${daemon}`, '')).code, 0);
  assert.equal((await runCommand(`histograms ${daemon}`, '')).code, 0);
  assert.equal((await runCommand(`drain nowhere ${daemon}`, '')).code, 3);
});
