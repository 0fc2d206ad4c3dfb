import { fileURLToPath } from 'node:url';
import type { Endpoint } from '@shallotcroft/core';
import { startProcess } from './processes.js';
import type { PlaygroundProcess } from './processes.js';

const program = fileURLToPath(new URL('./passThroughMain.js', import.meta.url));

/** Starts a process that passes calls on to `target` and does nothing else. */
export function startPassThrough(target: Endpoint): Promise<PlaygroundProcess> {
  return startProcess('pass-through', program, [target.address, String(target.port)]);
}
