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

/** Prints a table with one row for each variant. */
export function printTable(trigger: string, outcomes: Record<string, OverloadOutcome>): void {
  console.log(`\n${row(trigger, ['goodput', 'top class', 'wasted', 'attempts', 'recovery'])}`);
  Object.entries(outcomes).forEach(([variant, outcome]) => {
    const recovery = outcome.recovery_s === null ? 'never' : `${outcome.recovery_s.toFixed(2)} s`;
    const cells = [
      percent(outcome.goodput_ratio),
      percent(outcome.top_class_success),
      percent(outcome.wasted_ratio),
      String(outcome.attempts_per_root_max),
      recovery,
    ];
    console.log(row(variant, cells));
  });
}

/** Prints the complete responses of each second as bars, on the same scale for all variants. */
export function printBars(outcomes: Record<string, OverloadOutcome>): void {
  const maxCount = Math.max(1, ...Object.values(outcomes).flatMap((outcome) => outcome.curve));
  Object.entries(outcomes).forEach(([variant, outcome]) => {
    console.log(`\n${variant}: complete responses in each second`);
    outcome.curve.forEach((count, second) => {
      const bar = '#'.repeat(Math.round((BAR_WIDTH * count) / maxCount));
      console.log(`${String(second).padStart(4)} ${String(count).padStart(6)} ${bar}`);
    });
  });
}
