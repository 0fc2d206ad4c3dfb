import assert from 'node:assert/strict';
import { test } from 'node:test';
import { addHosts, sessionDeployments } from '../sessionDeployments.js';
import type { SessionDeployment } from '../sessionDeployments.js';
import { SystemWorld } from '../systemWorld.js';

test('a target that no longer announces itself is given no more work by anyone', async () => {
  const deployment = sessionDeployments[0] as SessionDeployment;
  const [top, , deep] = deployment.chain;
  const world = new SystemWorld(deployment.configuration);
  await world.accept(deployment.configuration);
  addHosts(world, deployment);
  await world.run(15_000);
  assert.ok(world.servingSeenBy(`${top}-0`).includes(`${deep}-0`));
  world.loseTarget(`${deep}-0`);
  await world.run(10_000);
  assert.ok(!world.servingSeenBy(`${top}-0`).includes(`${deep}-0`));
  assert.ok(world.servingSeenBy(`${top}-0`).includes(`${deep}-1`));
  assert.deepEqual(await world.finish(), []);
});
