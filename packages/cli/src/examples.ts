import { readFileSync } from 'node:fs';

/** Names of the example answers files that the package contains. */
export const exampleNames = ['reading-circles', 'cairnlea'];

/** Returns the text of an example answers file, with its comments. */
export function readExample(name: string): string {
  return readFileSync(new URL(`../examples/${name}.yaml`, import.meta.url), 'utf8');
}
