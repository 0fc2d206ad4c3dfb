import { readFileSync } from 'node:fs';
import { parse } from 'yaml';
import { startTarget } from './target.js';
import type { TargetSettings } from './target.js';

/** Process of one target; its settings are a YAML file. */

const file = process.argv[2];
if (!file) {
  process.stderr.write('give the settings: targetMain.js FILE\n');
  process.exit(4);
}
const target = await startTarget(parse(readFileSync(file, 'utf8')) as TargetSettings);
process.stdout.write(`${JSON.stringify({ listening: target.port })}\n`);
process.once('SIGTERM', () => {
  target
    .stop()
    .then(() => process.exit(0))
    .catch(() => process.exit(1));
});
