import {
  Ok,
  ResultCode,
  differenceOf,
  generateConfiguration,
  readAccepted,
  textOfChange,
} from '@shallotcroft/core';
import type { Change } from '@shallotcroft/core';
import { loadAnswers, openStore } from './commandContext.js';
import type { CommandContext, CommandFlags, CommandResult } from './commandContext.js';
import { printJson } from './output.js';
import type { Output } from './output.js';

/** Prints each change on a line of its own. */
export function printChanges(output: Output, changes: Change[]): void {
  changes.forEach((change) => output.print(`  ${textOfChange(change)}`));
}

/** Runs `diff`: compares the accepted configuration with the one generated from the answers. */
export async function runDiff(context: CommandContext, flags: CommandFlags): CommandResult {
  const answers = loadAnswers(context, flags);
  if (answers.isErr()) return answers;
  const store = openStore(context, flags);
  if (store.isErr()) return store;
  const accepted = await readAccepted(store.value);
  await store.value.close();
  if (accepted.isErr()) return accepted;
  const { configuration } = accepted.value;
  const revision = configuration?.revision ?? 0;
  const changes = differenceOf(configuration, generateConfiguration(answers.value));
  const { output } = context;
  if (flags.json) {
    printJson(output, { revision, changes });
    return Ok(ResultCode.ok);
  }
  output.print(`compared with revision ${revision}: ${changes.length} changes`);
  printChanges(output, changes);
  if (changes.length > 0) output.print(`apply with: shallotcroft apply --base ${revision}`);
  return Ok(ResultCode.ok);
}
