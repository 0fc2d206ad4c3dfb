import assert from 'node:assert/strict';
import { readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../../..');
const productFolders = ['packages/core/src', 'packages/daemon/src', 'packages/cli/src'];

/** Names of the platform's wire, settings and environment; only its adapter knows them. */
const platformNames = [
  'request-id',
  'deadline-ms',
  'caller-service',
  'expected-instance',
  'response-signature',
  'not-executed',
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

function sourcesIn(folder: string): string[] {
  return readdirSync(path.join(root, folder), { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith('.ts'))
    .map((entry) => path.join(entry.parentPath, entry.name))
    .filter((file) => !file.includes('__tests__'));
}

function namesIn(text: string): string[] {
  // The product's own headers bear its name.
  const lower = text.toLowerCase().replaceAll(/x-shallotcroft-[a-z-]+/g, '');
  return platformNames.filter((name) => lower.includes(name));
}

test('nothing outside the adapter names a field, header, key or path of the platform', () => {
  const found = productFolders
    .flatMap(sourcesIn)
    .flatMap((file) =>
      namesIn(readFileSync(file, 'utf8')).map((name) => `${path.relative(root, file)}: ${name}`),
    );
  assert.deepEqual(found, []);
});

test('the check finds such a name', () => {
  assert.deepEqual(namesIn("headers['Deadline-Ms'] = '5'"), ['deadline-ms']);
});
