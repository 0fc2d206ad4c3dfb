import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Agent, request } from 'undici';
import {
  CallHeader,
  isOutcomeUnknown,
  mintKey,
  systemClock,
  systemRandom,
} from '@shallotcroft/core';
import { LocalSystem } from '../localSystem.js';
import type { LocalHost } from '../localSystem.js';
import { largePrintConfiguration } from '../sessionConfiguration.js';

const STOPS = 10;
const CALLERS = 6;
const WORK_MS = 20;
const services = ['catalogue', 'reservations'];
const calls = ['catalogue/browse', 'reservations/reserve'];

interface Cut {
  call: string;
  reason: string;
}

/** Makes one call; tells why when it was cut off in flight. */
async function callOnce(port: number, call: string, agent: Agent): Promise<string | undefined> {
  try {
    const answer = await request(`http://127.0.0.1:${port}/call/${call}`, {
      method: 'POST',
      headers: { [CallHeader.key]: mintKey(systemClock, systemRandom) },
      body: '{}',
      dispatcher: agent,
    });
    const text = await answer.body.text();
    const code = Number(answer.headers[CallHeader.code]);
    return isOutcomeUnknown(code) || answer.statusCode === 502 ? text : undefined;
  } catch (error) {
    return (error as Error).message;
  }
}

/** Calls one after the other until told to stop; notes each call that was cut off in flight. */
async function callOn(port: number, index: number, stopped: AbortSignal, agent: Agent) {
  const cuts: Cut[] = [];
  let made = 0;
  while (!stopped.aborted) {
    const call = calls[(index + made) % calls.length] as string;
    const reason = await callOnce(port, call, agent);
    if (reason !== undefined) cuts.push({ call, reason });
    made += 1;
  }
  return { cuts, made };
}

test('ten planned stops in a row, under load, cut off no call in flight', async () => {
  const system = new LocalSystem(largePrintConfiguration, WORK_MS);
  await system.accept();
  const entry = await system.startHost('circles-0', 'circles');
  const hosts = await Promise.all(
    services.flatMap((service) => [
      system.startHost(`${service}-0`, service),
      system.startHost(`${service}-1`, service),
    ]),
  );
  await LocalSystem.waitForTargets(entry, 5);
  const agent = new Agent({ connections: CALLERS });
  const stopping = new AbortController();
  const { callPort } = entry.daemon.settings;
  const callers = Array.from({ length: CALLERS }, (_, index) =>
    callOn(callPort, index, stopping.signal, agent),
  );
  for (let stop = 0; stop < STOPS; stop++) {
    const service = services[stop % services.length] as string;
    const leaving = hosts.find((host) => host.name.startsWith(service)) as LocalHost;
    hosts.splice(hosts.indexOf(leaving), 1);
    hosts.push(await system.startHost(`${service}-${stop + 2}`, service));
    await LocalSystem.waitForTargets(entry, 6);
    await leaving.stop();
  }
  stopping.abort();
  const results = await Promise.all(callers);
  await agent.close();
  await Promise.all([entry, ...hosts].map((host) => host.stop()));
  assert.deepEqual(
    results.flatMap(({ cuts }) => cuts),
    [],
  );
  assert.ok(results.every(({ made }) => made > STOPS));
});
