import {
  Err,
  Ok,
  ResultCode,
  applyConfiguration,
  createFailure,
  generateConfiguration,
} from '@shallotcroft/core';
import type { ApplyOutcome } from '@shallotcroft/core';
import { badRequest, loadAnswers, openStore } from './commandContext.js';
import type { CommandContext, CommandFlags, CommandResult } from './commandContext.js';
import { printChanges } from './diffCommand.js';
import { printJson } from './output.js';
import type { Output } from './output.js';

/** Flags of `apply`. */
export interface ApplyFlags extends CommandFlags {
  /** Revision that the answers are based on. */
  base?: number;
}

function printConflict(output: Output, outcome: ApplyOutcome & { kind: 'conflict' }): void {
  const { revision, changeId } = outcome.winner;
  output.print(`nothing was applied: revision ${revision} (change ${changeId}) was accepted first`);
  output.print('it changed:');
  printChanges(output, outcome.theirs);
  output.print('your answers would still change:');
  printChanges(output, outcome.wanted);
  output.print(`bring your answers up to date, then: shallotcroft apply --base ${revision}`);
}

function printAccepted(output: Output, outcome: ApplyOutcome & { kind: 'accepted' }): void {
  const { revision, changeId } = outcome.configuration;
  output.print(`accepted as revision ${revision} (change ${changeId})`);
  printChanges(output, outcome.changes);
  if (outcome.replacedBy !== undefined) {
    output.print(`revision ${outcome.replacedBy} has replaced it since; see: shallotcroft history`);
  }
  output.print('see where it is in force: shallotcroft status');
}

/** Runs `apply`: makes the configuration generated from the answers the accepted one. */
export async function runApply(context: CommandContext, flags: ApplyFlags): CommandResult {
  if (flags.base !== undefined && !Number.isSafeInteger(flags.base)) {
    return Err(badRequest('--base takes a revision number, such as --base 7'));
  }
  const answers = loadAnswers(context, flags);
  if (answers.isErr()) return answers;
  const store = openStore(context, flags);
  if (store.isErr()) return store;
  const { output, clock, random } = context;
  const outcome = await applyConfiguration(generateConfiguration(answers.value), {
    store: store.value,
    clock,
    random,
    ...(flags.base === undefined ? {} : { base: flags.base }),
  });
  await store.value.close();
  if (outcome.isErr()) return outcome;
  if (flags.json) printJson(output, outcome.value);
  switch (outcome.value.kind) {
    case 'accepted':
      if (!flags.json) printAccepted(output, outcome.value);
      return Ok(ResultCode.ok);
    case 'conflict':
      if (!flags.json) printConflict(output, outcome.value);
      return Ok(ResultCode.applyConflict);
    default: {
      const { revision } = outcome.value.configuration;
      const message = `the answers match revision ${revision}; there is nothing to apply`;
      return Err(createFailure(ResultCode.applyUnchanged, message));
    }
  }
}
