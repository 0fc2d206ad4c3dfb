import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Fleet, kill, pause, resume } from '../fleet.js';

/** Maximum time until a failure is known to all daemons, on the manual clock. */
const DETECTION_BOUND_MS = 60_000;

/** Maximum time until a new member or a change is known to all daemons, on the manual clock. */
const SPREAD_BOUND_MS = 6000;

/** Maximum time until missed updates arrive by comparison of tables, on the manual clock. */
const RECONCILIATION_BOUND_MS = 15_000;

async function fleetOf(size: number, seed = 1): Promise<Fleet> {
  const fleet = new Fleet(seed);
  for (let number = 1; number <= size; number++) {
    await fleet.join(`10.0.0.${number}`, number % 2 === 0 ? 'hobart' : 'burnie');
  }
  assert.notEqual(await fleet.timeToConverge(SPREAD_BOUND_MS), undefined);
  return fleet;
}

test('daemons that join through bootstrap addresses find each other', async () => {
  const fleet = await fleetOf(20);
  assert.equal(fleet.daemons[0]?.membership.targetsOf('catalogue').length, 20);
});

test('all daemons declare a crashed daemon gone', async () => {
  const fleet = await fleetOf(8);
  const [victim] = fleet.daemons;
  assert.ok(victim);
  kill(victim);
  assert.notEqual(await fleet.timeToConverge(DETECTION_BOUND_MS), undefined);
});

test('a daemon whose connections lose a message each is not declared gone', async () => {
  const fleet = await fleetOf(8);
  let lostMessages = 0;
  const { reach } = fleet.network;
  const failingLinks = new Set<string>();
  fleet.network.reach = (from, to) => {
    // The lost message closes its connection; the next connection works.
    const dropped = failingLinks.delete(`${from.address}>${to.address}`);
    if (dropped) lostMessages += 1;
    return !dropped && (reach?.(from, to) ?? true);
  };
  async function failAllLinks(): Promise<void> {
    const addresses = fleet.daemons.map((daemon) => daemon.membership.self().address);
    addresses.forEach((from) => addresses.forEach((to) => failingLinks.add(`${from}>${to}`)));
    await fleet.clock.advance(10_000);
  }
  const gone: string[] = [];
  fleet.daemons.forEach(({ membership }) => {
    membership.onChange(() => {
      const goneMembers = membership.members().filter((member) => member.state === 'gone');
      gone.push(...goneMembers.map((member) => member.incarnation));
    });
  });
  await failAllLinks();
  await failAllLinks();
  await failAllLinks();
  assert.ok(lostMessages > 50);
  assert.deepEqual(gone, []);
});

test('a daemon that was declared gone during a pause rejoins with a higher version', async () => {
  const fleet = await fleetOf(6);
  const [, , pausedDaemon] = fleet.daemons;
  assert.ok(pausedDaemon);
  pause(pausedDaemon);
  await fleet.clock.advance(DETECTION_BOUND_MS);
  assert.equal(fleet.daemons[0]?.membership.memberOf(pausedDaemon.name)?.state, 'gone');
  resume(pausedDaemon);
  assert.notEqual(await fleet.timeToConverge(DETECTION_BOUND_MS), undefined);
  assert.ok(pausedDaemon.membership.self().version > 1);
});

test('a daemon that replaces another at its address is a new incarnation, and the earlier one stays gone', async () => {
  const fleet = await fleetOf(6);
  const next = await fleet.join('10.0.0.3');
  assert.notEqual(await fleet.timeToConverge(SPREAD_BOUND_MS), undefined);
  fleet.alive().forEach(({ membership }) => {
    assert.equal(membership.memberOf('run-3')?.state ?? 'gone', 'gone');
    assert.equal(membership.memberOf(next.name)?.state, 'serving');
  });
});

test('two halves of the fleet converge after a partition of five minutes', async () => {
  const fleet = await fleetOf(8);
  ['10.0.0.1', '10.0.0.3', '10.0.0.5', '10.0.0.7'].forEach((one) =>
    fleet.partitionedAddresses.add(one),
  );
  await fleet.clock.advance(300_000);
  fleet.partitionedAddresses.clear();
  assert.notEqual(await fleet.timeToConverge(DETECTION_BOUND_MS), undefined);
});

test('after a partition, gone updates of the other half do not remove live members of this half', async () => {
  const fleet = await fleetOf(12);
  const far = fleet.daemons.slice(0, 6);
  far.forEach(({ membership }) => fleet.partitionedAddresses.add(membership.self().address));
  await fleet.clock.advance(300_000);
  const hidden: string[] = [];
  fleet.daemons.forEach((daemon) => {
    const half = fleet.daemons.filter((other) => far.includes(other) === far.includes(daemon));
    daemon.membership.onChange(() => {
      const view = Fleet.viewOf(daemon);
      const lost = half.filter((other) => !view.includes(other.name));
      hidden.push(...lost.map((other) => `${daemon.name} lost ${other.name}`));
    });
  });
  fleet.partitionedAddresses.clear();
  assert.notEqual(await fleet.timeToConverge(DETECTION_BOUND_MS), undefined);
  assert.deepEqual(hidden, []);
});

test('a change of state reaches all daemons, and a draining target is no longer returned', async () => {
  const fleet = await fleetOf(20);
  const [drainingDaemon] = fleet.daemons;
  assert.ok(drainingDaemon);
  const updated = drainingDaemon.membership.update({ state: 'draining' });
  await fleet.clock.advance(SPREAD_BOUND_MS);
  await updated;
  fleet.alive().forEach(({ membership }) => {
    const targets = membership.targetsOf('catalogue').map((target) => target.incarnation);
    assert.ok(!targets.includes(drainingDaemon.name));
    assert.equal(targets.length, 19);
  });
});

test('updates that a daemon missed reach it when tables are compared', async () => {
  const fleet = await fleetOf(40);
  const [cutOff, ...rest] = fleet.daemons;
  assert.ok(cutOff);
  const changed = rest.slice(0, 10);
  fleet.partitionedAddresses.add(cutOff.membership.self().address);
  changed.forEach(({ membership }) => {
    membership.update({ state: 'draining' }).catch(() => undefined);
  });
  // Shorter than a suspicion, longer than the updates are gossiped.
  await fleet.clock.advance(4000);
  fleet.partitionedAddresses.clear();
  await fleet.clock.advance(RECONCILIATION_BOUND_MS);
  const states = changed.map(({ name }) => cutOff.membership.memberOf(name)?.state);
  assert.deepEqual(new Set(states), new Set(['draining']));
  assert.equal(cutOff.membership.self().version, 1);
});

test('an update without a difference does not raise the version', async () => {
  const fleet = await fleetOf(4);
  const [daemon] = fleet.daemons;
  assert.ok(daemon);
  const { version, service, state } = daemon.membership.self();
  await daemon.membership.update({ service, state, homes: [] });
  assert.equal(daemon.membership.self().version, version);
  const updated = daemon.membership.update({ homes: [{ shard: 1, revision: 2 }] });
  await fleet.clock.advance(SPREAD_BOUND_MS);
  await updated;
  assert.equal(daemon.membership.self().version, version + 1);
});

test('a daemon that finds no bootstrap address on start joins once there is one', async () => {
  const fleet = await fleetOf(3);
  const { bootstrap } = fleet;
  fleet.bootstrap = [];
  const late = await fleet.join('10.0.0.9');
  await fleet.clock.advance(SPREAD_BOUND_MS);
  assert.deepEqual(Fleet.viewOf(late), [late.name]);
  fleet.bootstrap = bootstrap;
  assert.notEqual(await fleet.timeToConverge(DETECTION_BOUND_MS), undefined);
});
