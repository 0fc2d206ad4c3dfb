import { Ok, ResultCode, generateConfiguration, shedOrderOf } from '@shallotcroft/core';
import { loadAnswers } from './commandContext.js';
import type { CommandContext, CommandFlags, CommandResult } from './commandContext.js';
import { printJson } from './output.js';

/** Runs `check`: validates the answers and prints a summary with the shed order. */
export async function runCheck(context: CommandContext, flags: CommandFlags): CommandResult {
  const answers = loadAnswers(context, flags);
  if (answers.isErr()) return answers;
  const configuration = generateConfiguration(answers.value);
  const steps = shedOrderOf(configuration);
  const atMostOnceCalls = Object.values(configuration.calls).filter(
    (call) => call.execution === 'atMostOnce',
  );
  const summary = {
    services: Object.keys(configuration.services).length,
    calls: Object.keys(configuration.calls).length,
    atMostOnce: atMostOnceCalls.map((call) => call.name),
    shedOrder: steps,
  };
  if (flags.json) {
    printJson(context.output, summary);
    return Ok(ResultCode.ok);
  }
  const { print } = context.output;
  print(`the answers are valid: ${summary.services} services, ${summary.calls} calls`);
  print(`weighs more: ${configuration.objective}`);
  print(`at most once: ${summary.atMostOnce.join(', ') || 'none'}`);
  print('shed in this order:');
  steps.forEach((step, index) => {
    print(`  ${index + 1}. ${step.importance}: ${step.calls.join(', ')}`);
  });
  return Ok(ResultCode.ok);
}
