import { Err, Ok, ResultCode, parseAnswers } from '@shallotcroft/core';
import { DEFAULT_ANSWERS_FILE, badRequest } from './commandContext.js';
import type { CommandContext, CommandFlags, CommandResult } from './commandContext.js';
import { exampleNames, readExample } from './examples.js';
import { askQuestionnaire } from './questionnaire.js';

/** Flags of `init`. */
export interface InitFlags extends CommandFlags {
  example?: string;
  /** Overwrites an existing file. */
  force?: boolean;
}

/** Runs `init`: writes an answers file, from the questionnaire or from an example. */
export async function runInit(context: CommandContext, flags: InitFlags): CommandResult {
  const { files, output } = context;
  const file = flags.answers ?? DEFAULT_ANSWERS_FILE;
  if (files.read(file) !== undefined && !flags.force) {
    return Err(badRequest(`${file} already exists; give another --answers FILE, or --force`));
  }
  const { example } = flags;
  if (example !== undefined && !exampleNames.includes(example)) {
    return Err(badRequest(`unknown example ${example}; examples: ${exampleNames.join(', ')}`));
  }
  const text = example === undefined ? await askQuestionnaire(context.ask) : readExample(example);
  files.write(file, text);
  output.print(`wrote ${file}`);
  const answers = parseAnswers({ file, text });
  if (answers.isErr()) return answers;
  output.print(`next: shallotcroft check --answers ${file}`);
  return Ok(ResultCode.ok);
}
