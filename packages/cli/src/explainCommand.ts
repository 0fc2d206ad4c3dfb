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

function rowsOf(explanation: Explanation): string[][] {
  const attempts = `${explanation.mostAttempts} end to end: (1 + ${explanation.attemptTokens}) x ${explanation.treeSize} calls in the tree`;
  return [
    ['service', explanation.service],
    ['called by', explanation.calledBy.join(', ') || 'external callers'],
    ['reached from', explanation.roots.map(textOfRoot).join(', ')],
    ['calls', explanation.calls.join(', ') || 'none'],
    ['deadline', `${explanation.deadlineMs} ms`],
    ['importance', explanation.importance],
    ['shed', `step ${explanation.shedPlace} of ${explanation.shedPlaces}, step 1 is shed first`],
    ['execution', explanation.execution],
    ['keyed', explanation.keyed ? 'yes' : 'no'],
    ['further attempts', `${explanation.attemptTokens} over the whole call tree`],
    ['as a root', attempts],
    ['depth', `${explanation.depth} calls in a row`],
  ];
}

/** Runs `explain`: prints the settings of one call and the reasons for them. */
export async function runExplain(
  context: CommandContext,
  name: string,
  flags: CommandFlags,
): CommandResult {
  const answers = loadAnswers(context, flags);
  if (answers.isErr()) return answers;
  const configuration = generateConfiguration(answers.value);
  const explanation = explainCall(configuration, name);
  if (!explanation) {
    const known = Object.keys(configuration.calls).join(', ');
    const message = `unknown call ${name}; calls in the answers: ${known}`;
    return Err(createFailure(ResultCode.badUnknownCall, message));
  }
  const { output } = context;
  if (flags.json) {
    printJson(output, explanation);
    return Ok(ResultCode.ok);
  }
  output.print(explanation.name);
  printTable(output, ['FIELD', 'VALUE'], rowsOf(explanation));
  explanation.why.forEach((reason) => output.print(`because ${reason}`));
  return Ok(ResultCode.ok);
}
