import assert from 'node:assert/strict';
import type { Configuration } from '@shallotcroft/core';
import { checkGolden } from './goldenFile.js';
import { SessionWorld } from './sessionWorld.js';

/** A scripted session of calls, faults and operator actions, compared with a golden file. */
export interface Session {
  /** Name of the golden file, without extension. */
  name: string;
  configuration: Configuration;
  script: (world: SessionWorld) => Promise<void>;
}

/** Runs a session; asserts its invariants, then compares the transcript with the golden file. */
export async function checkSession(session: Session): Promise<void> {
  const world = new SessionWorld(session.configuration);
  await session.script(world);
  const violations = await world.finish();
  assert.deepEqual(violations, []);
  checkGolden(session.name, world.transcript);
}
