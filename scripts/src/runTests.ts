import { spawnSync } from 'node:child_process';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { knownRedTests, namePatternFlags } from './knownRed.js';

/** Runs every spec of the workspace, or the files given; prints and skips tests in KNOWN-RED.txt. */

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
const knownRedFile = path.join(root, 'KNOWN-RED.txt');
const specFolders = [
  'packages/core',
  'packages/daemon',
  'packages/cli',
  'playground',
  'scripts',
  'platform',
];

function specFiles(): string[] {
  return specFolders.flatMap((folder) => {
    const specs = path.join(root, folder, 'dist/__tests__');
    if (!existsSync(specs)) return [];
    const names = readdirSync(specs).filter((name) => name.endsWith('.spec.js'));
    return names.sort().map((name) => path.join(specs, name));
  });
}

const knownRed = existsSync(knownRedFile) ? knownRedTests(readFileSync(knownRedFile, 'utf8')) : [];
knownRed.forEach((name) => console.log(`KNOWN RED, passed over: ${name}`));
const files = process.argv.length > 2 ? process.argv.slice(2) : specFiles();
const run = spawnSync(
  process.execPath,
  [
    '--enable-source-maps',
    '--test',
    '--test-concurrency=4',
    ...namePatternFlags(knownRed),
    ...files,
  ],
  { cwd: root, stdio: 'inherit' },
);
process.exit(run.status ?? 1);
