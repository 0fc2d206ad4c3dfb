import { writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import path from 'node:path';
import type { Script } from 'node:vm';
import { prepareWarmUp } from './warmUp.js';

/*
 * Runs the bundle under a short load and keeps the code compiled until then. Node.js must run with the
 * flags of the daemon: code that was compiled with other flags is rejected.
 */

/** What `loadBundle.cjs` exports. */
interface LoadedBundle {
  script: Script;
  /** Path of the file for the compiled code. */
  codeCache: string;
}

const start = path.resolve('target/shallotcroft.cjs');
const requireStart = createRequire(start);

async function run(): Promise<void> {
  const { file, load } = await prepareWarmUp();
  process.env.SHALLOTCROFT_BOOT = file;
  const { script, codeCache } = requireStart(start) as LoadedBundle;
  await load();
  writeFileSync(codeCache, script.createCachedData());
  process.exit(0);
}

run().catch((error: unknown) => {
  console.error(`no code was kept: ${(error as Error).message}`);
  process.exit(1);
});
