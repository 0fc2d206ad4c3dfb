import assert from 'node:assert/strict';
import type { Configuration } from '@shallotcroft/core';
import { checkGolden } from './goldenFile.js';
import { SessionWorld } from './sessionWorld.js';

/** A script of calls, faults and acts of operators. */
export interface Session {
  /** Name of its golden file. */
  name: string;
  configuration: Configuration;
  script: (world: SessionWorld) => Promise<void>;
}

/** Runs a session; its invariants must hold whatever its golden file says. */
export async function checkSession(session: Session): Promise<void> {
  const world = new SessionWorld(session.configuration);
  await session.script(world);
  const violations = await world.finish();
  assert.deepEqual(violations, []);
  checkGolden(session.name, world.transcript);
}
