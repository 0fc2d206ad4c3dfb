import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

const folder = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../golden');

/** The committed transcript of a session; with GOLDEN_UPDATE=1 it is rewritten first. */
export function goldenTranscript(name: string, lines: string[]): string[] {
  const file = path.join(folder, `${name}.txt`);
  if (process.env.GOLDEN_UPDATE === '1') {
    mkdirSync(folder, { recursive: true });
    writeFileSync(file, `${lines.join('\n')}\n`);
  }
  if (!existsSync(file)) return [];
  return readFileSync(file, 'utf8').trimEnd().split('\n');
}
