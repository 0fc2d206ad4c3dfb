import type { Failure } from '@shallotcroft/core';

const COLUMN_GAP = '  ';

/** Output of a command: results and errors, line by line. */
export interface Output {
  print(line: string): void;
  printError(line: string): void;
}

/** Writes results to the standard output and errors to the standard error of the process. */
export const processOutput: Output = {
  print: (line) => process.stdout.write(`${line}\n`),
  printError: (line) => process.stderr.write(`${line}\n`),
};

/** Prints a value as indented JSON. */
export function printJson(output: Output, value: unknown): void {
  output.print(JSON.stringify(value, null, 2));
}

/** Prints a table; each column is as wide as its widest cell. */
export function printTable(output: Output, headings: string[], rows: string[][]): void {
  const lines = [headings, ...rows];
  const widths = headings.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? '').length)),
  );
  lines.forEach((line) => {
    const cells = line.map((cell, column) => cell.padEnd(widths[column] ?? 0));
    output.print(cells.join(COLUMN_GAP).trimEnd());
  });
}

/** Prints a failure with its code, name and message, or as one line of JSON. */
export function printFailure(output: Output, failure: Failure, isJson: boolean): void {
  if (isJson) {
    output.printError(JSON.stringify(failure));
    return;
  }
  output.printError(`error ${failure.code} ${failure.name}`);
  failure.message.split('\n').forEach((line) => output.printError(`  ${line}`));
}
