import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MembershipMethod } from '@shallotcroft/core';
import { Fleet, kill } from '../fleet.js';
import type { FleetDaemon } from '../fleet.js';

/** In force everywhere within this time: the users' bound. */
const IN_FORCE_MS = 6000;

const HOUR_MS = 60 * 60 * 1000;

const dataCentres = ['hobart', 'burnie', 'devonport'];

async function fleetOf(size: number, faults = { stalledWatches: false }): Promise<Fleet> {
  const fleet = new Fleet(3);
  fleet.stalledWatches = faults.stalledWatches;
  for (let number = 1; number <= size; number++) {
    await fleet.join(`10.0.0.${number}`, dataCentres[number % 3]);
  }
  await fleet.clock.advance(10_000);
  return fleet;
}

function watchersOf(fleet: Fleet): FleetDaemon[] {
  return fleet.alive().filter((daemon) => daemon.manager.isStoreReachable() !== undefined);
}

function assertInForce(fleet: Fleet, revision: number): void {
  const expected = fleet.alive().map(() => revision);
  assert.deepEqual(fleet.revisions(), expected);
}

test('an accepted revision is in force everywhere within the bound', async () => {
  const fleet = await fleetOf(30);
  for (let change = 1; change <= 3; change++) {
    const revision = await fleet.apply();
    await fleet.clock.advance(IN_FORCE_MS);
    assertInForce(fleet, revision);
  }
});

test('pushes deliver a revision when all membership exchanges are lost', async () => {
  const fleet = await fleetOf(30);
  fleet.lostMethods.add(MembershipMethod.exchange);
  const revision = await fleet.apply();
  await fleet.clock.advance(1000);
  const reached = fleet.revisions().filter((one) => one === revision).length;
  assert.ok(reached > 20, `${reached} of 30`);
});

test('two daemons of each data centre watch the store, and others take over', async () => {
  const fleet = await fleetOf(30);
  assert.equal(watchersOf(fleet).length, 6);
  watchersOf(fleet).forEach(kill);
  await fleet.clock.advance(60_000);
  assert.equal(watchersOf(fleet).length, 6);
  const revision = await fleet.apply();
  await fleet.clock.advance(IN_FORCE_MS);
  assertInForce(fleet, revision);
});

test('a revision that a stalled watch does not deliver is found by the next read', async () => {
  const fleet = await fleetOf(6, { stalledWatches: true });
  const revision = await fleet.apply();
  await fleet.clock.advance(IN_FORCE_MS);
  assertInForce(fleet, revision);
});

test('a daemon that starts while the store is down takes the revision of its peers', async () => {
  const fleet = await fleetOf(12);
  const revision = await fleet.apply();
  await fleet.clock.advance(IN_FORCE_MS);
  fleet.setStoreDown(true);
  for (let number = 1; number <= 12; number++) {
    await fleet.join(`10.0.0.${number}`, dataCentres[number % 3]);
    await fleet.clock.advance(IN_FORCE_MS);
    assertInForce(fleet, revision);
  }
});

test('an older configuration in the store is rejected', async () => {
  const fleet = await fleetOf(6);
  await fleet.apply();
  const revision = await fleet.apply();
  await fleet.clock.advance(IN_FORCE_MS);
  const key = 'shallotcroft/configuration';
  const entry = (await fleet.store.get(key)).unwrap();
  const older = JSON.stringify({ ...JSON.parse(entry?.value ?? ''), revision: 1 });
  await fleet.store.swap(key, entry?.modRevision ?? 0, older);
  await fleet.clock.advance(60_000);
  assertInForce(fleet, revision);
});

test('when the store returns after an hour, only the watchers read it, and not at once', async () => {
  const fleet = await fleetOf(30);
  fleet.setStoreDown(true);
  await fleet.clock.advance(HOUR_MS / 12);
  const watchers = watchersOf(fleet).length;
  const before = fleet.alive().map(({ store }) => store.counts.reads);
  fleet.setStoreDown(false);
  await fleet.clock.advance(1000);
  const after = fleet.alive().map(({ store }) => store.counts.reads);
  const reads = after.reduce((sum, count, index) => sum + count - (before[index] as number), 0);
  assert.ok(reads <= watchers, `${reads} reads of ${watchers} watchers`);
  const revision = await fleet.apply();
  await fleet.clock.advance(IN_FORCE_MS);
  assertInForce(fleet, revision);
});
