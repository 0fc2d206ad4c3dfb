import assert from 'node:assert/strict';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

/** Asserts that a transcript equals its golden file; `GOLDEN_UPDATE=1` writes the file first. */
export function checkGolden(name: string, transcript: string[]): void {
  const file = fileURLToPath(new URL(`../golden/${name}.golden`, import.meta.url));
  const text = `${transcript.join('\n')}\n`;
  if (process.env.GOLDEN_UPDATE === '1') writeFileSync(file, text);
  const golden = existsSync(file) ? readFileSync(file, 'utf8') : '';
  assert.equal(text, golden, `the transcript differs from ${name}.golden`);
}
