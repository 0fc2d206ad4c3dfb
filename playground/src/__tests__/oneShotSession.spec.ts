import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CallOutcome } from '@shallotcroft/core';
import { checkGolden } from '../goldenFile.js';
import { OneShotFleet } from '../oneShotFleet.js';

/** Runs calls, faults and operator actions, and records the outcomes and log entries as lines. */
class OneShotSession {
  readonly lines: string[] = [];

  private readonly names = new Map<string, string>();

  readonly fleet = new OneShotFleet({
    shards: 2,
    workMs: 20,
    onLog: (daemon, message, fields) =>
      this.write(`${daemon}: ${message} ${JSON.stringify(fields)}`),
  });

  write(text: string): void {
    const line = `${String(this.fleet.clock.now()).padStart(7)} ${text}`;
    this.lines.push(line);
  }

  mint(name: string): string {
    const key = this.fleet.mint();
    this.names.set(key, name);
    return key;
  }

  async call(key: string): Promise<void> {
    const called = this.fleet.call(key);
    await this.fleet.advance(2000);
    const runs = this.fleet.executionsOf(key);
    this.write(`${this.names.get(key)}: ${OneShotSession.textOf(await called)}; runs ${runs}`);
  }

  async callFresh(name: string): Promise<string> {
    const key = this.mint(name);
    await this.call(key);
    return key;
  }

  async advance(ms: number, text: string): Promise<void> {
    this.write(`--- ${text}`);
    await this.fleet.advance(ms);
  }

  private static textOf(outcome: CallOutcome): string {
    if (outcome.isErr()) return `${outcome.error.code} ${outcome.error.name}`;
    return outcome.value.body.toString();
  }
}

test('a session of payments through kill, pause, outage, lost answer, leave and restart', async () => {
  const session = new OneShotSession();
  const { fleet } = session;
  ['perth1:perth', 'perth2:perth', 'dundee1:dundee'].forEach((text) => {
    const [name, dataCentre] = text.split(':') as [string, string];
    fleet.add(name, dataCentre);
  });
  await session.advance(60_000, 'three daemons start');
  const first = await session.callFresh('payment 1');
  await session.call(first);
  await session.advance(0, 'the store is down');
  fleet.setStoreDown(true);
  await session.callFresh('payment 2');
  const home = fleet.homeOf(first) as string;
  fleet.kill(home);
  await session.advance(8000, `${home}, the home of payment 1, is killed during the outage`);
  await session.call(first);
  fleet.setStoreDown(false);
  fleet.daemons.forEach(({ store }) => store.loseNextResponse('late'));
  await session.advance(3000, 'the store is back, but its next answer is lost');
  fleet.daemons.forEach(({ store }) => store.applyDelayedWrites());
  await session.advance(5000, 'the lost writes take effect late');
  await session.call(first);
  const third = await session.callFresh('payment 3');
  const paused = fleet.homeOf(third) as string;
  fleet.daemon(paused).clock.pause();
  await session.advance(10_000, `${paused}, the home of payment 3, is paused`);
  await session.call(third);
  fleet.daemon(paused).clock.resume();
  await session.advance(5000, `${paused} wakes`);
  await session.callFresh('payment 4');
  fleet.add(home, home.replace(/\d/, ''));
  await session.advance(60_000, `${home} is started again`);
  const fifth = await session.callFresh('payment 5');
  const leaver = fleet.homeOf(fifth) as string;
  fleet.setState(leaver, 'draining');
  const left = fleet.daemon(leaver).executor.leave();
  await session.advance(5000, `${leaver}, the home of payment 5, leaves as planned`);
  await left;
  await session.call(fifth);
  assert.deepEqual(fleet.violations(), []);
  assert.ok(fleet.executions.length >= 5);
  checkGolden('one-shot-payments', session.lines);
});
