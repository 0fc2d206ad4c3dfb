import assert from 'node:assert/strict';
import { readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../../..');
const sourceFolders = ['packages', 'platform', 'playground', 'deploy'];
const skippedFolders = /(^|\/)(node_modules|dist|golden|days)(\/|$)/;
const sourceFile = /\.(ts|js|yaml|toml)$/;

function sourcesIn(folder: string): string[] {
  return readdirSync(path.join(root, folder), { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile() && sourceFile.test(entry.name))
    .map((entry) => path.join(entry.parentPath, entry.name))
    .filter((file) => !skippedFolders.test(path.relative(root, file)));
}

/** The lines of the code blocks of `docs/reference/external-names.md`. */
function externalNames(): string[] {
  const page = readFileSync(path.join(root, 'docs/reference/external-names.md'), 'utf8');
  const blocks = [...page.matchAll(/```text\n([^`]*)```/g)].map((block) => block[1] as string);
  return [...new Set(blocks.flatMap((block) => block.split('\n').filter(Boolean)))];
}

/** True when `name` stands in `text` and is not a part of a longer word. */
function includesName(text: string, name: string): boolean {
  const escaped = name.replaceAll(/[.*+?^${}()|[\]\\/-]/g, '\\$&');
  const start = /^\w/.test(name) ? '(?<!\\w)' : '';
  const end = /\w$/.test(name) ? '(?!\\w)' : '';
  return new RegExp(`${start}${escaped}${end}`).test(text);
}

test('every name that other processes read is still in the sources', () => {
  const text = sourceFolders
    .flatMap(sourcesIn)
    .map((file) => readFileSync(file, 'utf8'))
    .join('\n');
  const names = externalNames();
  assert.ok(names.length > 300, `${names.length} names read`);
  assert.deepEqual(
    names.filter((name) => !includesName(text, name)),
    [],
  );
});

test('the check notices a name that is only part of a longer one', () => {
  assert.equal(includesName('const remainingMsLeft = 5;', 'remainingMs'), false);
  assert.equal(includesName("headers['x-a-ms'] = 5;", 'x-a-ms'), true);
});
