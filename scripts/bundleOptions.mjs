import { URL, fileURLToPath } from 'node:url';

const pathOf = (file) => fileURLToPath(new URL(file, import.meta.url));

/** Options with which esbuild bundles the code of the daemon. */
export default {
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  alias: {
    '@shallotcroft/core': pathOf('../packages/core/src/index.ts'),
    '@shallotcroft/daemon': pathOf('../packages/daemon/src/index.ts'),
    undici: pathOf('./undiciParts.cjs'),
    'hdr-histogram-js': pathOf('./histogramParts.cjs'),
    'node:assert': pathOf('./plainAssert.cjs'),
  },
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
};
