import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { LineCounter, isMap, isNode, parseDocument } from 'yaml';
import type { Document } from 'yaml';
import * as z from 'zod';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import type { ResultNumber } from '../runtime/resultCode.js';

/** Text of a YAML file, and the file name for error messages. */
export interface YamlSource {
  file: string;
  text: string;
}

/** Path to a node of a document: keys of mappings and indexes of lists. */
export type YamlPath = (string | number)[];

/** A problem in a document; the message includes the remedy. */
export interface YamlProblem {
  path: YamlPath;
  message: string;
}

/** A document that matches its schema. */
export interface YamlDocument<T> {
  value: T;
  /** Creates a failure that names file, line and path of each problem. */
  failureOf(problems: YamlProblem[]): Failure;
}

/** Schema of a mapping that rejects unknown keys; its errors list the known keys. */
export function mapping<T extends z.ZodRawShape>(shape: T) {
  const known = Object.keys(shape).join(', ');
  return z.strictObject(shape, {
    error: (issue) =>
      issue.code === 'unrecognized_keys'
        ? `unknown: ${issue.keys.join(', ')}; write one of: ${known}`
        : `write a mapping with the keys: ${known}`,
  });
}

/** Offset of the key at `path`, or of its nearest ancestor in the document. */
function offsetOf(document: Document, path: YamlPath): number {
  for (let { length } = path; length > 0; length--) {
    const parent = document.getIn(path.slice(0, length - 1), true);
    const name = String(path[length - 1]);
    const pair = isMap(parent)
      ? parent.items.find((item) => isNode(item.key) && String(item.key) === name)
      : undefined;
    const node = pair?.key ?? document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) return node.range[0];
  }
  return 0;
}

function pathOfIssue(issue: z.core.$ZodIssue): YamlPath {
  const path = issue.path.filter((part) => typeof part !== 'symbol');
  return issue.code === 'unrecognized_keys' ? [...path, issue.keys[0] as string] : path;
}

function messageOfIssue(issue: z.core.$ZodIssue): string {
  if (issue.code !== 'invalid_key') return issue.message;
  return issue.issues.map((inner) => inner.message).join('; ');
}

/** Parses a document and validates it against `schema`; fails with `code`. */
export function parseYaml<T>(
  source: YamlSource,
  schema: z.ZodType<T>,
  code: ResultNumber,
): Result<YamlDocument<T>, Failure> {
  const lineCounter = new LineCounter();
  const document = parseDocument(source.text, { lineCounter, prettyErrors: false });
  const lineAt = (offset: number) => lineCounter.linePos(offset).line;
  const failureOf = (problems: YamlProblem[]) => {
    const texts = problems.map(({ path, message }) => {
      const line = lineAt(offsetOf(document, path));
      return `${source.file}:${line}: ${path.length === 0 ? 'document' : path.join('.')}: ${message}`;
    });
    return createFailure(code, texts.join('\n'));
  };
  if (document.errors.length > 0) {
    const texts = document.errors.map(
      (error) => `${source.file}:${lineAt(error.pos[0])}: not YAML: ${error.message}`,
    );
    return Err(createFailure(code, texts.join('\n')));
  }
  const parsed = schema.safeParse(document.toJS());
  if (parsed.success) return Ok({ value: parsed.data, failureOf });
  return Err(
    failureOf(
      parsed.error.issues.map((issue) => ({
        path: pathOfIssue(issue),
        message: messageOfIssue(issue),
      })),
    ),
  );
}
