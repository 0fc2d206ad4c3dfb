import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkGolden } from '../goldenFile.js';
import { addHosts, sessionDeployments } from '../sessionDeployments.js';
import type { SessionDeployment } from '../sessionDeployments.js';
import { SystemWorld } from '../systemWorld.js';

const CALL_MS = 4000;
/** Maximum time until an accepted revision is in force at every daemon. */
const IN_FORCE_MS = 6000;

async function call(world: SystemWorld, name: string, via: string, root: string, keyOf?: string) {
  const response = world.call({ root, call: name, via, ...(keyOf ? { keyOf } : {}) });
  await world.run(CALL_MS);
  return response;
}

async function runWholePath(world: SystemWorld, deployment: SessionDeployment): Promise<void> {
  const { chain, critical, low, configuration } = deployment;
  const [top, , last] = chain;
  await world.accept(configuration);
  addHosts(world, deployment);
  await world.run(15_000);
  world.logRevisions();
  await call(world, critical, `${top}-0`, 'first');
  await call(world, low, `${last}-1`, 'through-another-daemon');

  world.setStoreDown(true);
  await call(world, critical, `${top}-1`, 'while-the-store-is-down');
  world.addHost(`${top}-2`);
  await world.run(10_000);
  world.logRevisions();
  await call(world, critical, `${top}-2`, 'at-a-daemon-started-while-the-store-is-down');
  world.setStoreDown(false);
  await world.run(40_000);

  await world.accept({ ...configuration, revision: 2, changeId: 'second' });
  await world.run(IN_FORCE_MS);
  world.logRevisions();

  const leaving = world.leave(`${last}-0`);
  await call(world, critical, `${top}-0`, 'while-a-target-leaves');
  await world.run(CALL_MS);
  await leaving;
  await call(world, critical, `${top}-0`, 'after-it-left');

  world.addHost(`${last}-2`);
  await world.run(40_000);
  world.kill(`${last}-1`);
  await call(world, critical, `${top}-0`, 'just-after-a-kill');
  await world.run(30_000);
  await call(world, critical, `${top}-0`, 'just-after-a-kill-again', 'just-after-a-kill');
  await call(world, critical, `${top}-0`, 'long-after-a-kill');
}

// Guards against failed or repeated calls during a store outage, a planned stop and a killed host.
sessionDeployments.forEach((deployment) => {
  test(`${deployment.name}: the whole path, through outage, leaving and loss`, async () => {
    const world = new SystemWorld(deployment.configuration);
    await runWholePath(world, deployment);
    const violations = await world.finish();
    assert.deepEqual(violations, []);
    checkGolden(`${deployment.name}-whole-path`, world.transcript);
  });
});
