import type { OverloadOutcome } from './overloadOutcome.js';

const BAR_WIDTH = 50;
const LABEL_WIDTH = 10;
const CELL_WIDTH = 12;

function percent(share: number): string {
  return `${(100 * share).toFixed(1)}%`;
}

function row(label: string, cells: string[]): string {
  return [label.padEnd(LABEL_WIDTH), ...cells.map((cell) => cell.padStart(CELL_WIDTH))].join('');
}

/** Prints one line a way. */
export function printTable(trigger: string, outcomes: Record<string, OverloadOutcome>): void {
  console.log(`\n${row(trigger, ['goodput', 'top class', 'wasted', 'attempts', 'recovery'])}`);
  Object.entries(outcomes).forEach(([way, outcome]) => {
    const recovery = outcome.recovery_s === null ? 'never' : `${outcome.recovery_s.toFixed(2)} s`;
    const cells = [
      percent(outcome.goodput_ratio),
      percent(outcome.top_class_success),
      percent(outcome.wasted_ratio),
      String(outcome.attempts_per_root_max),
      recovery,
    ];
    console.log(row(way, cells));
  });
}

/** Prints the whole answers of each second as bars, each way to the same scale. */
export function printBars(outcomes: Record<string, OverloadOutcome>): void {
  const most = Math.max(1, ...Object.values(outcomes).flatMap((outcome) => outcome.curve));
  Object.entries(outcomes).forEach(([way, outcome]) => {
    console.log(`\n${way}: whole answers in each second`);
    outcome.curve.forEach((answers, second) => {
      const bar = '#'.repeat(Math.round((BAR_WIDTH * answers) / most));
      console.log(`${String(second).padStart(4)} ${String(answers).padStart(6)} ${bar}`);
    });
  });
}
