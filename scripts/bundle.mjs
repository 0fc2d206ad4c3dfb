// Bundles the daemon and the platform adapter into one file and compiles it ahead, which reduces
// the startup time.
import { execFileSync } from 'node:child_process';
import { copyFileSync, readFileSync, rmSync } from 'node:fs';
import console from 'node:console';
import process from 'node:process';
import { build } from 'esbuild';
import bundleOptions from './bundleOptions.mjs';

/** Time for the load under which code is compiled, in milliseconds. */
const CODE_CACHE_TIMEOUT_MS = 30_000;

await build({
  ...bundleOptions,
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/daemon.cjs',
});
copyFileSync('scripts/loadBundle.cjs', 'target/shallotcroft.cjs');
rmSync('target/daemon.cache', { force: true });

await build({
  entryPoints: ['scripts/src/writeCodeCache.ts'],
  outfile: 'target/writeCodeCache.cjs',
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  logLevel: 'warning',
});
const command = /^run = "node (.*) target\/shallotcroft\.cjs"$/m.exec(
  readFileSync('deploy/system.toml', 'utf8'),
);
if (!command) throw new Error('deploy/system.toml must start target/shallotcroft.cjs with node');
try {
  execFileSync(process.execPath, [...command[1].split(' '), 'target/writeCodeCache.cjs'], {
    stdio: ['ignore', 'ignore', 'inherit'],
    timeout: CODE_CACHE_TIMEOUT_MS,
  });
} catch (error) {
  // The bundle works without the compiled code; it only starts more slowly.
  console.warn(`the bundle is not compiled ahead: ${error.message}`);
}
