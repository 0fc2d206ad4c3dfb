// Bundles the daemon and the platform adapter into one file and compiles it ahead, which reduces
// the startup time.
import { execFileSync } from 'node:child_process';
import { copyFileSync, readFileSync, rmSync } from 'node:fs';
import process from 'node:process';
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/daemon.cjs',
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  alias: {
    '@shallotcroft/core': './packages/core/src/index.ts',
    '@shallotcroft/daemon': './packages/daemon/src/index.ts',
    undici: './scripts/undiciParts.cjs',
    'hdr-histogram-js': './scripts/histogramParts.cjs',
  },
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
});
copyFileSync('scripts/loadBundle.cjs', 'target/shallotcroft.cjs');
rmSync('target/daemon.cache', { force: true });

const command = /^run = "node (.*) target\/shallotcroft\.cjs"$/m.exec(
  readFileSync('deploy/system.toml', 'utf8'),
);
if (!command) throw new Error('deploy/system.toml must start target/shallotcroft.cjs with node');
const nodeFlags = command[1].split(' ');
execFileSync(process.execPath, [...nodeFlags, 'scripts/writeCodeCache.cjs'], {
  stdio: ['ignore', 'ignore', 'ignore'],
});
