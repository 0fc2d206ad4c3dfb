import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { knownRedTests, namePatternFlags } from '../knownRed.js';

test('the runner skips exactly the listed tests', () => {
  const folder = mkdtempSync(path.join(tmpdir(), 'known-red-'));
  const file = path.join(folder, 'sample.spec.mjs');
  const lines = ['fails (1.5)', 'fails (1.5) as well', 'passes'].map(
    (name) => `test('${name}', () => assert.ok(${name === 'passes'}));`,
  );
  const imports = "import assert from 'node:assert'; import { test } from 'node:test';\n";
  writeFileSync(file, imports + lines.join('\n'));
  const names = knownRedTests('test: fails (1.5)\nseen: test: no entry\n');
  const run = spawnSync(process.execPath, ['--test', ...namePatternFlags(names), file], {
    encoding: 'utf8',
    env: { ...process.env, NODE_TEST_CONTEXT: undefined },
  });
  rmSync(folder, { recursive: true });
  assert.match(run.stdout, /^# pass 1$/m);
  assert.match(run.stdout, /^# fail 1$/m);
  assert.match(run.stdout, /^# skipped 1$/m);
  assert.match(run.stdout, /^not ok \d+ - fails \(1\.5\) as well$/m);
});
