import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { createInterface } from 'node:readline/promises';
import type { Interface } from 'node:readline/promises';
import { EtcdStore, RpcPeerCaller, systemClock, systemRandom } from '@shallotcroft/core';
import type { CommandContext } from './commandContext.js';
import { ExitCode } from './exitCode.js';
import { processOutput } from './output.js';
import { runProgram } from './program.js';

/** Entry point of the command line process. */

/** Longer than the timeout of daemons: for an operator, a slow response is better than none. */
const STORE_TIMEOUT_MS = 10_000;

const peers = new RpcPeerCaller();
let terminal: Interface | undefined;

function openTerminal(): Interface {
  const opened = createInterface({ input: process.stdin, output: process.stdout });
  opened.once('close', () => {
    if (terminal !== opened) return;
    processOutput.printError(
      'the input ended before the questionnaire was complete; no file was written',
    );
    process.exit(ExitCode.badRequest);
  });
  return opened;
}

const context: CommandContext = {
  output: processOutput,
  files: {
    read: (file) => (existsSync(file) ? readFileSync(file, 'utf8') : undefined),
    write: (file, text) => writeFileSync(file, text),
  },
  variables: process.env,
  clock: systemClock,
  random: systemRandom,
  peers,
  ask: (question) => {
    terminal ??= openTerminal();
    return terminal.question(question);
  },
  openStore: (endpoints) =>
    new EtcdStore({
      endpoints,
      clock: systemClock,
      random: systemRandom,
      timeoutMs: STORE_TIMEOUT_MS,
    }),
};

process.exitCode = await runProgram(process.argv.slice(2), context);
const opened = terminal;
terminal = undefined;
opened?.close();
await peers.close();
