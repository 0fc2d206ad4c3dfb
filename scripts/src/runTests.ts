import { spawnSync } from 'node:child_process';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

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

function knownRedTests(): string[] {
  if (!existsSync(knownRedFile)) return [];
  const lines = readFileSync(knownRedFile, 'utf8').split('\n');
  return lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice(6).trim());
}

function specFiles(): string[] {
  return specFolders.flatMap((folder) => {
    const specs = path.join(root, folder, 'dist/__tests__');
    if (!existsSync(specs)) return [];
    const names = readdirSync(specs).filter((name) => name.endsWith('.spec.js'));
    return names.sort().map((name) => path.join(specs, name));
  });
}

function escapeRegExp(text: string): string {
  return text.replace(/[.*+?^${}()|[\]\\/]/g, '\\$&');
}

/** Node 20 has no `--test-skip-pattern`, so a negative look-ahead excludes the names to skip. */
function namePatternFlags(names: string[]): string[] {
  if (names.length === 0) return [];
  const skipped = names.map((name) => `${escapeRegExp(name)}$`).join('|');
  return [`--test-name-pattern=/^(?!${skipped})/`];
}

const knownRed = knownRedTests();
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
