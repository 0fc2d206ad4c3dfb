import { Ok, ResultCode, generateConfiguration } from '@shallotcroft/core';
import type { CallPolicy, ServicePolicy } from '@shallotcroft/core';
import { loadAnswers } from './commandContext.js';
import type { CommandContext, CommandFlags, CommandResult } from './commandContext.js';
import { printJson, printTable } from './output.js';

const BYTES_PER_KB = 1024;

function serviceRow(policy: ServicePolicy): string[] {
  const numbers = [policy.slots, policy.connections].map(String);
  return [policy.name, ...numbers, policy.limit, String(policy.shards)];
}

function callRow(policy: CallPolicy): string[] {
  return [
    policy.name,
    policy.importance,
    policy.execution,
    policy.keyed ? 'yes' : 'no',
    `${policy.deadlineMs} ms`,
    String(policy.attemptTokens),
    `${policy.maxAnswerBytes / BYTES_PER_KB} KB`,
    policy.children.join(', ') || '-',
  ];
}

/** Runs `generate`: prints the configuration generated from the answers. */
export async function runGenerate(context: CommandContext, flags: CommandFlags): CommandResult {
  const answers = loadAnswers(context, flags);
  if (answers.isErr()) return answers;
  const configuration = generateConfiguration(answers.value);
  const { output } = context;
  if (flags.json) {
    printJson(output, configuration);
    return Ok(ResultCode.ok);
  }
  printTable(
    output,
    ['SERVICE', 'SLOTS', 'CONNECTIONS', 'LIMIT', 'SHARDS'],
    Object.values(configuration.services).map(serviceRow),
  );
  output.print('');
  printTable(
    output,
    ['CALL', 'IMPORTANCE', 'EXECUTION', 'KEYED', 'DEADLINE', 'TOKENS', 'ANSWER', 'CALLS'],
    Object.values(configuration.calls).map(callRow),
  );
  return Ok(ResultCode.ok);
}
