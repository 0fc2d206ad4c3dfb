import assert from 'node:assert/strict';
import { test } from 'node:test';
import { addHosts, sessionDeployments } from '../sessionDeployments.js';
import type { SessionDeployment } from '../sessionDeployments.js';
import { SystemWorld } from '../systemWorld.js';

// Guards against calls to a stopped target whose daemon still runs and gossips its member update.
test('no daemon routes calls to a target that stopped announcing itself', async () => {
  const deployment = sessionDeployments[0] as SessionDeployment;
  const [top, , last] = deployment.chain;
  const world = new SystemWorld(deployment.configuration);
  await world.accept(deployment.configuration);
  addHosts(world, deployment);
  await world.run(15_000);
  assert.ok(world.servingHostsKnownTo(`${top}-0`).includes(`${last}-0`));
  world.stopTarget(`${last}-0`);
  await world.run(10_000);
  assert.ok(!world.servingHostsKnownTo(`${top}-0`).includes(`${last}-0`));
  assert.ok(world.servingHostsKnownTo(`${top}-0`).includes(`${last}-1`));
  assert.deepEqual(await world.finish(), []);
});
