import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  BOOTSTRAP_PREFIX,
  createBootstrapManager,
  readBootstrapAddresses,
  silentLogger,
} from '@shallotcroft/core';
import { Fleet, kill } from '../fleet.js';
import type { FleetDaemon } from '../fleet.js';

/** Time for several checks of the addresses, in milliseconds. */
const CHECKS_MS = 180_000;

function startBootstrapManager(fleet: Fleet, daemon: FleetDaemon): void {
  createBootstrapManager({
    membership: daemon.membership,
    store: daemon.store,
    clock: daemon.clock,
    random: fleet.random,
    logger: silentLogger,
  }).start();
}

async function fleetOf(size: number): Promise<Fleet> {
  const fleet = new Fleet(5);
  for (let number = 1; number <= size; number++) {
    startBootstrapManager(fleet, await fleet.join(`10.0.0.${number}`));
  }
  await fleet.clock.advance(CHECKS_MS);
  return fleet;
}

async function storedAddresses(fleet: Fleet): Promise<string[]> {
  const read = await readBootstrapAddresses(fleet.store, [], fleet.clock);
  return read.map(({ address }) => address);
}

test('three live addresses per data centre are stored, and written only when one is gone', async () => {
  const fleet = await fleetOf(8);
  const first = await storedAddresses(fleet);
  assert.equal(new Set(first).size, 3);
  const { revision } = fleet.store.database;
  await fleet.clock.advance(CHECKS_MS);
  assert.equal(fleet.store.database.revision, revision);

  const [victim] = fleet.alive().filter((one) => one.membership.self().address === first[0]);
  assert.ok(victim);
  kill(victim);
  await fleet.clock.advance(CHECKS_MS);
  const second = await storedAddresses(fleet);
  assert.equal(new Set(second).size, 3);
  assert.ok(!second.includes(first[0] as string));
});

test('three live addresses are stored although the response to a write was lost', async () => {
  const fleet = new Fleet(6);
  for (let number = 1; number <= 5; number++) {
    const daemon = await fleet.join(`10.0.0.${number}`);
    daemon.store.loseNextResponse('early');
    startBootstrapManager(fleet, daemon);
  }
  await fleet.clock.advance(CHECKS_MS);
  assert.equal(new Set(await storedAddresses(fleet)).size, 3);
});

test('addresses of the settings are used when the store is down', async () => {
  const fleet = new Fleet(7);
  fleet.store.setDown(true);
  const settings = [{ address: '10.0.0.9', port: 7002 }];
  assert.deepEqual(await readBootstrapAddresses(fleet.store, settings, fleet.clock), settings);
  assert.equal(BOOTSTRAP_PREFIX.endsWith('/'), true);
});
