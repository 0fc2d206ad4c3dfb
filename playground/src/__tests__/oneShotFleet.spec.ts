import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ResultCode, reassignShard } from '@shallotcroft/core';
import type { CallOutcome } from '@shallotcroft/core';
import { OneShotFleet } from '../oneShotFleet.js';
import type { FleetOptions } from '../oneShotFleet.js';
import { PausableClock } from '../pausableClock.js';

const START_MS = 60_000;

async function createFleet(options: Partial<FleetOptions> = {}): Promise<OneShotFleet> {
  const fleet = new OneShotFleet({ shards: 8, ...options });
  fleet.add('hobart1', 'hobart');
  fleet.add('hobart2', 'hobart');
  fleet.add('burnie1', 'burnie');
  fleet.add('burnie2', 'burnie');
  await fleet.advance(START_MS);
  return fleet;
}

function codeOf(outcome: CallOutcome): number {
  return outcome.isOk() ? ResultCode.ok : outcome.error.code;
}

async function callAll(fleet: OneShotFleet, keys: string[], ms = 1000): Promise<number[]> {
  const calls = Promise.all(keys.map((key) => fleet.call(key)));
  await fleet.advance(ms);
  return (await calls).map(codeOf);
}

function mintMany(fleet: OneShotFleet, count: number): string[] {
  return Array.from({ length: count }, () => fleet.mint());
}

test('every shard gets a home, and a deputy in another data centre', async () => {
  const fleet = await createFleet();
  const shards = [...fleet.daemons.values()].flatMap(({ executor }) => executor.status());
  assert.deepEqual(shards.map(({ shard }) => shard).sort(), [0, 1, 2, 3, 4, 5, 6, 7]);
  fleet.daemons.forEach(({ member, executor }) => {
    executor.status().forEach(({ deputy, serving }) => {
      assert.notEqual(deputy?.slice(0, 6), member.dataCentre);
      assert.ok(serving);
    });
  });
});

test('a home renews its leases with one message per deputy, and without the store', async () => {
  const fleet = await createFleet({ shards: 64 });
  const sentBefore = fleet.network.sent.get('oneShot.pledge') ?? 0;
  const writesBefore = fleet.database.revision;
  await fleet.advance(10_000);
  const sent = (fleet.network.sent.get('oneShot.pledge') ?? 0) - sentBefore;
  assert.ok(sent <= 10 * fleet.daemons.size, `${sent} messages`);
  assert.equal(fleet.database.revision, writesBefore);
});

test('retries with the same key get the response of its only execution', async () => {
  const fleet = await createFleet();
  const key = fleet.mint();
  assert.deepEqual(await callAll(fleet, [key, key, key]), [0, 0, 0]);
  assert.deepEqual(await callAll(fleet, [key]), [0]);
  assert.equal(fleet.executionsOf(key), 1);
});

test('after the kill of a home its old keys are unknown, new keys run, and none runs twice', async () => {
  const fleet = await createFleet({ workMs: 200 });
  const keys = mintMany(fleet, 40);
  const before = await callAll(fleet, keys);
  assert.ok(before.every((code) => code === ResultCode.ok));
  const killed = fleet.homeOf(keys[0] as string) as string;
  const held = keys.filter((key) => fleet.homeOf(key) === killed);
  fleet.kill(killed);
  await fleet.advance(8000);
  const after = await callAll(fleet, held);
  assert.ok(after.every((code) => code === ResultCode.unknownKeyMayHaveRun));
  const fresh = await callAll(fleet, mintMany(fleet, 40));
  assert.ok(fresh.every((code) => code === ResultCode.ok));
  assert.deepEqual(fleet.violations(), []);
});

test('a home that was paused until after its takeover begins no queued call when it resumes', async () => {
  const fleet = await createFleet({ queueMs: 100 });
  const probe = fleet.mint();
  const paused = fleet.homeOf(probe) as string;
  const keys = mintMany(fleet, 40).filter((key) => fleet.homeOf(key) === paused);
  const held = keys.map((key) => fleet.attempt(paused, key));
  await fleet.advance(50);
  fleet.daemon(paused).clock.pause();
  await fleet.advance(10_000);
  assert.ok(keys.every((key) => fleet.homeOf(key) !== paused));
  const retried = await callAll(fleet, keys);
  assert.ok(retried.every((code) => code === ResultCode.unknownKeyMayHaveRun));
  fleet.daemon(paused).clock.resume();
  await fleet.advance(5000);
  const woken = (await Promise.all(held)).map(codeOf);
  assert.ok(woken.every((code) => code === ResultCode.notRunHomeUnavailable));
  assert.deepEqual(fleet.executions, []);
  assert.deepEqual(fleet.violations(), []);
});

test('a partition between home and deputy leaves one of them home, never both', async () => {
  const fleet = await createFleet();
  const probe = fleet.mint();
  const home = fleet.homeOf(probe) as string;
  const { deputy } = fleet.daemon(home).executor.status()[0] as { deputy: string };
  fleet.cut(home, deputy.split('#')[0] as string);
  const all = [...fleet.daemons.keys()];
  for (let second = 0; second < 12; second++) {
    const key = fleet.mint();
    all.forEach((name) => fleet.attempt(name, key));
    await fleet.advance(1000);
  }
  const fresh = await callAll(fleet, mintMany(fleet, 40));
  assert.ok(fresh.every((code) => code === ResultCode.ok));
  assert.deepEqual(fleet.violations(), []);
});

test('a home partitioned from all daemons and the store rejects calls, and reports no false result', async () => {
  const fleet = await createFleet();
  const probe = fleet.mint();
  const home = fleet.homeOf(probe) as string;
  const shard0 = mintMany(fleet, 40).filter((key) => fleet.homeOf(key) === home);
  [...fleet.daemons.keys()]
    .filter((name) => name !== home)
    .forEach((name) => fleet.cut(home, name));
  fleet.daemon(home).store.setDown(true);
  await fleet.advance(10_000);
  const before = await Promise.all(shard0.map((key) => fleet.attempt(home, key)));
  assert.ok(before.map(codeOf).every((code) => code === ResultCode.notRunHomeUnavailable));
  const late = await Promise.all(mintMany(fleet, 40).map((key) => fleet.attempt(home, key)));
  assert.ok(late.map(codeOf).every((code) => code === ResultCode.notHome));
  assert.deepEqual(fleet.violations(), []);
});

test('calls continue during a store outage of hours', async () => {
  const fleet = await createFleet();
  fleet.setStoreDown(true);
  for (let hour = 0; hour < 3; hour++) {
    await fleet.advance(3_600_000);
    const codes = await callAll(fleet, mintMany(fleet, 20));
    assert.ok(codes.every((code) => code === ResultCode.ok));
  }
  assert.deepEqual(fleet.violations(), []);
});

test('a planned leave under load loses no response and runs no key twice', async () => {
  const fleet = await createFleet({ workMs: 300 });
  const early = mintMany(fleet, 40);
  await callAll(fleet, early);
  const leaver = fleet.homeOf(early[0] as string) as string;
  const calls: Promise<CallOutcome>[] = [];
  for (let step = 0; step < 40; step++) {
    calls.push(fleet.call(fleet.mint()));
    if (step === 10) {
      fleet.setState(leaver, 'draining');
      const { executor } = fleet.daemon(leaver);
      executor.leave().then(async () => {
        await executor.stop();
        fleet.kill(leaver);
      });
    }
    await fleet.advance(50);
  }
  await fleet.advance(2000);
  assert.equal(fleet.daemon(leaver).isAlive, false);
  assert.ok((await Promise.all(calls)).map(codeOf).every((code) => code === ResultCode.ok));
  const again = await callAll(fleet, early);
  assert.ok(again.every((code) => code === ResultCode.ok));
  assert.equal(fleet.executions.length, early.length + calls.length);
  assert.deepEqual(fleet.violations(), []);
});

test('a leave tries the next daemon when the first is unresponsive, and ends during a store outage', async () => {
  const fleet = await createFleet();
  const keys = mintMany(fleet, 20);
  await callAll(fleet, keys);
  const leaver = fleet.homeOf(keys[0] as string) as string;
  const others = [...fleet.daemons.keys()].filter((name) => name !== leaver);
  fleet.cut(leaver, others[0] as string);
  await callAll(fleet, [], 5000);
  const left = fleet.daemon(leaver).executor.leave();
  await fleet.advance(20_000);
  await left;
  assert.deepEqual(fleet.daemon(leaver).executor.status(), []);
  const again = await callAll(fleet, keys);
  assert.ok(again.every((code) => code === ResultCode.ok));
  fleet.setStoreDown(true);
  const ended = fleet.daemon(others[0] as string).executor.leave();
  await fleet.advance(20_000);
  await ended;
  assert.deepEqual(fleet.violations(), []);
});

test('a daemon configured with another number of shards claims none', async () => {
  const fleet = await createFleet({ shards: 2 });
  const shards = 4;
  const misled = fleet.add('devonport1', 'devonport', shards);
  await fleet.advance(START_MS);
  assert.deepEqual(misled.executor.status(), []);
  const records = fleet.database.list('shallotcroft/shards/');
  assert.equal(records.length, 2);
});

test('a key sent to all daemons at once runs once, despite lost store responses and a kill', async () => {
  const fleet = await createFleet({ workMs: 50 });
  const all = [...fleet.daemons.keys()];
  const first = fleet.homeOf(fleet.mint()) as string;
  for (let step = 0; step < 60; step++) {
    const key = fleet.mint();
    all.filter((name) => name !== first || step < 20).forEach((name) => fleet.attempt(name, key));
    fleet.call(key);
    if (step === 20) {
      fleet.daemons.forEach(({ store }) => {
        store.loseNextResponse('late');
        store.loseNextResponse('early');
      });
      fleet.kill(first);
    }
    if (step === 40) fleet.daemons.forEach(({ store }) => store.applyDelayedWrites());
    await fleet.advance(250);
  }
  const fresh = await callAll(fleet, mintMany(fleet, 20));
  assert.ok(fresh.every((code) => code === ResultCode.ok));
  assert.deepEqual(fleet.violations(), []);
});

/** Creates a fleet whose only home and deputy were killed; a third daemon runs. */
async function createFleetWithoutHomeAndDeputy(): Promise<{
  fleet: OneShotFleet;
  key: string;
  home: string;
}> {
  const fleet = new OneShotFleet({ shards: 1 });
  fleet.add('hobart1', 'hobart');
  fleet.add('burnie1', 'burnie');
  await fleet.advance(START_MS);
  const key = fleet.mint();
  assert.deepEqual(await callAll(fleet, [key]), [ResultCode.ok]);
  const home = fleet.homeOf(key) as string;
  fleet.kill('hobart1');
  fleet.kill('burnie1');
  fleet.add('launceston1', 'launceston');
  await fleet.advance(START_MS);
  assert.deepEqual(await callAll(fleet, [fleet.mint()]), [ResultCode.unknownKeyMayHaveRun]);
  return { fleet, key, home };
}

test('without home and deputy a shard rejects calls until the home restarts at the same address', async () => {
  const { fleet, key, home } = await createFleetWithoutHomeAndDeputy();
  fleet.add(home, home.slice(0, 6));
  await fleet.advance(START_MS);
  assert.deepEqual(await callAll(fleet, [key]), [ResultCode.unknownKeyMayHaveRun]);
  assert.deepEqual(await callAll(fleet, [fleet.mint()]), [ResultCode.ok]);
  assert.deepEqual(fleet.violations(), []);
});

async function reassign(fleet: OneShotFleet, ended: string[]): Promise<number> {
  const { store, member } = fleet.daemon('launceston1');
  const operatorClock = new PausableClock(fleet.clock);
  const { peers } = fleet.network.connect(9000, operatorClock);
  const { incarnation, address, peerPort } = member;
  const to = { incarnation, address, peerPort };
  const reassignment = { store, peers, clock: operatorClock, service: 'payments', shard: 0 };
  const done = reassignShard({ ...reassignment, to, ended });
  await fleet.advance(10_000);
  const result = await done;
  return result.isOk() ? ResultCode.ok : result.error.code;
}

test('an operator can reassign a shard only when home and deputy are listed as ended and are not alive', async () => {
  const { fleet, key } = await createFleetWithoutHomeAndDeputy();
  assert.equal(await reassign(fleet, ['hobart1#1']), ResultCode.badRequest);
  assert.equal(await reassign(fleet, ['hobart1#1', 'burnie1#1']), ResultCode.ok);
  await fleet.advance(START_MS);
  assert.deepEqual(await callAll(fleet, [key]), [ResultCode.unknownKeyMayHaveRun]);
  assert.deepEqual(await callAll(fleet, [fleet.mint()]), [ResultCode.ok]);
  assert.equal(await reassign(fleet, ['launceston1#1']), ResultCode.badRequest);
  assert.deepEqual(fleet.violations(), []);
});
