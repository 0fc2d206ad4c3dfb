import { fileURLToPath } from 'node:url';
import type { Endpoint } from '@shallotcroft/core';
import { startProcess } from './processes.js';
import type { PlaygroundProcess } from './processes.js';

const program = fileURLToPath(new URL('./passThroughMain.js', import.meta.url));

/** Starts a minimal HTTP proxy process in front of `target`. */
export function startPassThrough(target: Endpoint): Promise<PlaygroundProcess> {
  return startProcess('pass-through', program, [target.address, String(target.port)]);
}
