import { readFileSync } from 'node:fs';

/** Examples of answers that come with the command line. */
export const exampleNames = ['reading-circles', 'cairnlea'];

/** The commented answers of one example. */
export function readExample(name: string): string {
  return readFileSync(new URL(`../examples/${name}.yaml`, import.meta.url), 'utf8');
}
