import assert from 'node:assert/strict';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import type { Configuration } from '@shallotcroft/core';
import { SessionWorld } from './sessionWorld.js';

/** A script of calls, faults and acts of operators. */
export interface Session {
  /** Name of its golden file. */
  name: string;
  configuration: Configuration;
  script: (world: SessionWorld) => Promise<void>;
}

function goldenFile(name: string): string {
  return fileURLToPath(new URL(`../golden/${name}.golden`, import.meta.url));
}

/** Compares a transcript with its golden file; `GOLDEN_UPDATE=1` writes the file instead. */
export function checkGolden(name: string, transcript: string[]): void {
  const text = `${transcript.join('\n')}\n`;
  const file = goldenFile(name);
  if (process.env.GOLDEN_UPDATE === '1') writeFileSync(file, text);
  const golden = existsSync(file) ? readFileSync(file, 'utf8') : '';
  assert.equal(text, golden, `the session differs from ${name}.golden`);
}

/** Runs a session; its invariants must hold whatever its golden file says. */
export async function checkSession(session: Session): Promise<void> {
  const world = new SessionWorld(session.configuration);
  await session.script(world);
  const violations = await world.finish();
  assert.deepEqual(violations, []);
  checkGolden(session.name, world.transcript);
}
