// Runs the bundle until it finds no settings, and keeps the code compiled until then. Node.js must
// run with the flags of the daemon: code that was compiled with other flags is rejected.
const { writeFileSync } = require('node:fs');
const { createRequire } = require('node:module');
const path = require('node:path');
const process = require('node:process');

const start = path.resolve('target/shallotcroft.cjs');
const requireStart = createRequire(start);

process.on('exit', () => {
  const { script, codeCache } = require.cache[start].exports;
  writeFileSync(codeCache, script.createCachedData());
  process.exitCode = 0;
});

delete process.env.SHALLOTCROFT_BOOT;
requireStart(start);
