// Bundles the daemon and the platform adapter into one file, which reduces the startup time.
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/shallotcroft.cjs',
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  alias: {
    '@shallotcroft/core': './packages/core/src/index.ts',
    '@shallotcroft/daemon': './packages/daemon/src/index.ts',
    undici: './scripts/undiciParts.cjs',
  },
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
});
