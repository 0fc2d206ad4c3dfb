import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Fleet, kill, pause, resume } from '../fleet.js';

/** Longest time in which a death is to be known everywhere, on the manual clock. */
const DETECTION_BOUND_MS = 60_000;

/** Longest time in which a newcomer is to be known everywhere, on the manual clock. */
const NEWS_BOUND_MS = 6000;

/** Longest time in which missed news is made good, without meeting its owner. */
const COMPARISON_BOUND_MS = 15_000;

async function fleetOf(size: number, seed = 1): Promise<Fleet> {
  const fleet = new Fleet(seed);
  for (let number = 1; number <= size; number++) {
    await fleet.join(`10.0.0.${number}`, number % 2 === 0 ? 'hobart' : 'burnie');
  }
  assert.notEqual(await fleet.timeToAgree(NEWS_BOUND_MS), undefined);
  return fleet;
}

test('daemons that join through bootstrap addresses find each other', async () => {
  const fleet = await fleetOf(20);
  assert.equal(fleet.daemons[0]?.membership.targetsOf('catalogue').length, 20);
});

test('a daemon that ended without a word is taken for gone everywhere', async () => {
  const fleet = await fleetOf(8);
  const [victim] = fleet.daemons;
  assert.ok(victim);
  kill(victim);
  assert.notEqual(await fleet.timeToAgree(DETECTION_BOUND_MS), undefined);
});

test('a daemon whose connections go silent for a while is not taken for gone', async () => {
  const fleet = await fleetOf(8);
  let lost = 0;
  const { reach } = fleet.network;
  const silent = new Set<string>();
  fleet.network.reach = (from, to) => {
    // The message that is lost ends its connection; the next one works.
    const dropped = silent.delete(`${from.address}>${to.address}`);
    if (dropped) lost += 1;
    return !dropped && (reach?.(from, to) ?? true);
  };
  async function silenceAll(): Promise<void> {
    const addresses = fleet.daemons.map((daemon) => daemon.membership.self().address);
    addresses.forEach((from) => addresses.forEach((to) => silent.add(`${from}>${to}`)));
    await fleet.clock.advance(10_000);
  }
  const gone: string[] = [];
  fleet.daemons.forEach(({ membership }) => {
    membership.onChange(() => {
      const lapsed = membership.members().filter((member) => member.state === 'gone');
      gone.push(...lapsed.map((member) => member.incarnation));
    });
  });
  await silenceAll();
  await silenceAll();
  await silenceAll();
  assert.ok(lost > 50);
  assert.deepEqual(gone, []);
});

test('a daemon that was paused until it lapsed is back with a higher version', async () => {
  const fleet = await fleetOf(6);
  const [, , sleeper] = fleet.daemons;
  assert.ok(sleeper);
  pause(sleeper);
  await fleet.clock.advance(DETECTION_BOUND_MS);
  assert.equal(fleet.daemons[0]?.membership.memberOf(sleeper.name)?.state, 'gone');
  resume(sleeper);
  assert.notEqual(await fleet.timeToAgree(DETECTION_BOUND_MS), undefined);
  assert.ok(sleeper.membership.self().version > 1);
});

test('a host replaced at the same address is another incarnation, and the first is gone for good', async () => {
  const fleet = await fleetOf(6);
  const next = await fleet.join('10.0.0.3');
  assert.notEqual(await fleet.timeToAgree(NEWS_BOUND_MS), undefined);
  fleet.alive().forEach(({ membership }) => {
    assert.equal(membership.memberOf('run-3')?.state ?? 'gone', 'gone');
    assert.equal(membership.memberOf(next.name)?.state, 'serving');
  });
});

test('two halves that lost each other for minutes are whole again', async () => {
  const fleet = await fleetOf(8);
  ['10.0.0.1', '10.0.0.3', '10.0.0.5', '10.0.0.7'].forEach((one) => fleet.farSide.add(one));
  await fleet.clock.advance(300_000);
  fleet.farSide.clear();
  assert.notEqual(await fleet.timeToAgree(DETECTION_BOUND_MS), undefined);
});

test('after a cut, what the other half thought does not hide the own half', async () => {
  const fleet = await fleetOf(12);
  const far = fleet.daemons.slice(0, 6);
  far.forEach(({ membership }) => fleet.farSide.add(membership.self().address));
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
  fleet.farSide.clear();
  assert.notEqual(await fleet.timeToAgree(DETECTION_BOUND_MS), undefined);
  assert.deepEqual(hidden, []);
});

test('a change of state reaches everyone, and a draining target is no longer given', async () => {
  const fleet = await fleetOf(20);
  const [leaver] = fleet.daemons;
  assert.ok(leaver);
  const told = leaver.membership.update({ state: 'draining' });
  await fleet.clock.advance(NEWS_BOUND_MS);
  await told;
  fleet.alive().forEach(({ membership }) => {
    const targets = membership.targetsOf('catalogue').map((target) => target.incarnation);
    assert.ok(!targets.includes(leaver.name));
    assert.equal(targets.length, 19);
  });
});

test('news that a daemon missed reaches it when the tables are compared', async () => {
  const fleet = await fleetOf(40);
  const [cutOff, ...rest] = fleet.daemons;
  assert.ok(cutOff);
  const changed = rest.slice(0, 10);
  fleet.farSide.add(cutOff.membership.self().address);
  changed.forEach(({ membership }) => {
    membership.update({ state: 'draining' }).catch(() => undefined);
  });
  // Shorter than a suspicion lasts, longer than the news is passed on.
  await fleet.clock.advance(4000);
  fleet.farSide.clear();
  await fleet.clock.advance(COMPARISON_BOUND_MS);
  const states = changed.map(({ name }) => cutOff.membership.memberOf(name)?.state);
  assert.deepEqual(new Set(states), new Set(['draining']));
  assert.equal(cutOff.membership.self().version, 1);
});

test('a change that changes nothing is no news', async () => {
  const fleet = await fleetOf(4);
  const [daemon] = fleet.daemons;
  assert.ok(daemon);
  const { version, service, state } = daemon.membership.self();
  await daemon.membership.update({ service, state, homes: [] });
  assert.equal(daemon.membership.self().version, version);
  const told = daemon.membership.update({ homes: [{ shard: 1, revision: 2 }] });
  await fleet.clock.advance(NEWS_BOUND_MS);
  await told;
  assert.equal(daemon.membership.self().version, version + 1);
});

test('a daemon that found no address on its start joins once there is one', async () => {
  const fleet = await fleetOf(3);
  const { bootstrap } = fleet;
  fleet.bootstrap = [];
  const late = await fleet.join('10.0.0.9');
  await fleet.clock.advance(NEWS_BOUND_MS);
  assert.deepEqual(Fleet.viewOf(late), [late.name]);
  fleet.bootstrap = bootstrap;
  assert.notEqual(await fleet.timeToAgree(DETECTION_BOUND_MS), undefined);
});
