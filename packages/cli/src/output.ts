import type { Failure } from '@shallotcroft/core';

const COLUMN_GAP = '  ';

/** Where a command writes: lines for its reader, and lines about what went wrong. */
export interface Output {
  print(line: string): void;
  printError(line: string): void;
}

/** The output of the process. */
export const processOutput: Output = {
  print: (line) => process.stdout.write(`${line}\n`),
  printError: (line) => process.stderr.write(`${line}\n`),
};

/** Prints a value for scripts. */
export function printJson(output: Output, value: unknown): void {
  output.print(JSON.stringify(value, null, 2));
}

/** Prints rows under headings, in columns as wide as their widest cell. */
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

/** Prints a failure with its number and name. */
export function printFailure(output: Output, failure: Failure, isJson: boolean): void {
  if (isJson) {
    output.printError(JSON.stringify(failure));
    return;
  }
  output.printError(`error ${failure.code} ${failure.name}`);
  failure.message.split('\n').forEach((line) => output.printError(`  ${line}`));
}
