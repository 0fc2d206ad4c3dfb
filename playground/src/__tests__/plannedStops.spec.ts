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

interface InterruptedCall {
  call: string;
  reason: string;
}

/** Makes one call; returns the reason when it was interrupted in flight, undefined otherwise. */
async function callOnce(port: number, call: string, agent: Agent): Promise<string | undefined> {
  try {
    const response = await request(`http://127.0.0.1:${port}/call/${call}`, {
      method: 'POST',
      headers: { [CallHeader.key]: mintKey(systemClock, systemRandom) },
      body: '{}',
      dispatcher: agent,
    });
    const text = await response.body.text();
    const code = Number(response.headers[CallHeader.code]);
    return isOutcomeUnknown(code) || response.statusCode === 502 ? text : undefined;
  } catch (error) {
    return (error as Error).message;
  }
}

/** Makes calls one after the other until `stopped` is aborted; collects the interrupted ones. */
async function callRepeatedly(port: number, index: number, stopped: AbortSignal, agent: Agent) {
  const interruptedCalls: InterruptedCall[] = [];
  let callCount = 0;
  while (!stopped.aborted) {
    const call = calls[(index + callCount) % calls.length] as string;
    const reason = await callOnce(port, call, agent);
    if (reason !== undefined) interruptedCalls.push({ call, reason });
    callCount += 1;
  }
  return { interruptedCalls, callCount };
}

// Guards against a planned stop that ends its daemon or target while calls are in flight.
test('ten consecutive planned stops under load interrupt no call in flight', async () => {
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
    callRepeatedly(callPort, index, stopping.signal, agent),
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
    results.flatMap(({ interruptedCalls }) => interruptedCalls),
    [],
  );
  assert.ok(results.every(({ callCount }) => callCount > STOPS));
});
