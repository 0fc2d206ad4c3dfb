import {
  Err,
  Ok,
  ResultCode,
  createFailure,
  explainCall,
  generateConfiguration,
} from '@shallotcroft/core';
import type { Explanation, RootCall } from '@shallotcroft/core';
import { loadAnswers } from './commandContext.js';
import type { CommandContext, CommandFlags, CommandResult } from './commandContext.js';
import { printJson, printTable } from './output.js';

function textOfRoot(root: RootCall): string {
  return `${root.name} (at most ${root.mostAttempts} attempts end to end)`;
}

function rowsOf(found: Explanation): string[][] {
  const attempts = `${found.mostAttempts} end to end: (1 + ${found.attemptTokens}) x ${found.treeSize} calls in the tree`;
  return [
    ['service', found.service],
    ['called by', found.calledBy.join(', ') || 'callers from outside'],
    ['reached from', found.roots.map(textOfRoot).join(', ')],
    ['calls', found.calls.join(', ') || 'nothing'],
    ['deadline', `${found.deadlineMs} ms`],
    ['importance', found.importance],
    ['shed', `place ${found.shedPlace} of ${found.shedPlaces}, 1 first`],
    ['execution', found.execution],
    ['keyed', found.keyed ? 'yes' : 'no'],
    ['further attempts', `${found.attemptTokens} over the whole chain`],
    ['as a root', attempts],
    ['depth', `${found.depth} calls in a row`],
  ];
}

/** Says everything that follows from the answers for one call. */
export async function runExplain(
  context: CommandContext,
  name: string,
  flags: CommandFlags,
): CommandResult {
  const answers = loadAnswers(context, flags);
  if (answers.isErr()) return answers;
  const configuration = generateConfiguration(answers.value);
  const found = explainCall(configuration, name);
  if (!found) {
    const known = Object.keys(configuration.calls).join(', ');
    const message = `there is no call ${name}; the answers describe: ${known}`;
    return Err(createFailure(ResultCode.badUnknownCall, message));
  }
  const { output } = context;
  if (flags.json) {
    printJson(output, found);
    return Ok(ResultCode.ok);
  }
  output.print(found.name);
  printTable(output, ['FIELD', 'VALUE'], rowsOf(found));
  found.why.forEach((reason) => output.print(`because ${reason}`));
  return Ok(ResultCode.ok);
}
