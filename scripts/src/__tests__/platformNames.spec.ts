import assert from 'node:assert/strict';
import { readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../../..');
const sourceFolders = ['packages/core/src', 'packages/daemon/src', 'packages/cli/src'];

/**
 * Names of the platform's headers, paths, fields, settings and variables, in lower case. Only the
 * platform adapter may contain them.
 */
const platformNames = [
  'request-id',
  'deadline-ms',
  'caller-service',
  'expected-instance',
  'response-signature',
  'not-executed',
  'server-limit',
  'server-leaving',
  'heartbeataddress',
  'coldremainings',
  'serviceinfo',
  'trafficsplit',
  'non_idempotent',
  'resourcetype',
  'timeouts:',
  'targetlatencys',
  'controlplane',
  'appaddress',
  'internalportrange',
  'op/config',
  '/kv-',
  '/instances/',
  '/readiness',
  'shallotcroft_boot',
];

function sourceFilesIn(folder: string): string[] {
  return readdirSync(path.join(root, folder), { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith('.ts'))
    .map((entry) => path.join(entry.parentPath, entry.name))
    .filter((file) => !file.includes('__tests__'));
}

function platformNamesIn(text: string): string[] {
  // Headers of the call protocol start with the product name and may contain a platform name.
  const lower = text.toLowerCase().replaceAll(/x-shallotcroft-[a-z-]+/g, '');
  return platformNames.filter((name) => lower.includes(name));
}

test('no source of core, daemon and command line contains a field, header, key or path of the platform', () => {
  const found = sourceFolders
    .flatMap(sourceFilesIn)
    .flatMap((file) =>
      platformNamesIn(readFileSync(file, 'utf8')).map(
        (name) => `${path.relative(root, file)}: ${name}`,
      ),
    );
  assert.deepEqual(found, []);
});

test('the check finds a platform name in any letter case', () => {
  assert.deepEqual(platformNamesIn("headers['Deadline-Ms'] = '5'"), ['deadline-ms']);
});
