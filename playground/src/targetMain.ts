import { readFileSync } from 'node:fs';
import { parse } from 'yaml';
import { startTarget } from './target.js';
import type { TargetSettings } from './target.js';

/** Entry point of a target process: `node targetMain.js FILE`, with its settings in YAML. */

const settingsFile = process.argv[2];
if (!settingsFile) {
  process.stderr.write('missing settings file; usage: targetMain.js FILE\n');
  process.exit(4);
}
const target = await startTarget(parse(readFileSync(settingsFile, 'utf8')) as TargetSettings);
process.stdout.write(`${JSON.stringify({ listening: target.port })}\n`);
process.once('SIGTERM', () => {
  target
    .stop()
    .then(() => process.exit(0))
    .catch(() => process.exit(1));
});
