import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Failure } from '../runtime/failure.js';
import { ResultCode } from '../runtime/resultCode.js';
import { answersSchema } from './answersSchema.js';
import type { Answers } from './answersSchema.js';
import { checkAnswers } from './checks.js';
import { parseYaml } from './yamlDocument.js';
import type { YamlSource } from './yamlDocument.js';

/** Parses and checks answers; fails with `answersInvalid`, naming file, line, path and remedy. */
export function parseAnswers(source: YamlSource): Result<Answers, Failure> {
  const document = parseYaml(source, answersSchema, ResultCode.answersInvalid);
  if (document.isErr()) return document;
  const problems = checkAnswers(document.value.value);
  if (problems.length > 0) return Err(document.value.failureOf(problems));
  return Ok(document.value.value);
}
