import { ControlMethod, Ok, ResultCode } from '@shallotcroft/core';
import type { HistogramMeasure, HistogramRow } from '@shallotcroft/core';
import { daemonAddress } from './commandContext.js';
import type { CommandContext, CommandFlags, CommandResult } from './commandContext.js';
import { printJson } from './output.js';

const TIMEOUT_MS = 2000;
const BAR_WIDTH = 40;
const BAR = '█';
const MICROSECONDS_PER_MS = 1000;

/** Flags of `histograms`. */
export interface HistogramsFlags extends CommandFlags {
  measure?: string;
  group?: string;
}

function textOfValue(measure: HistogramMeasure, value: number): string {
  const isTime = measure === 'latency' || measure === 'queueTime';
  if (!isTime) return String(value);
  return `${Number((value / MICROSECONDS_PER_MS).toPrecision(3))} ms`;
}

/** Lower bound of bucket `index`, whose width doubles with each index. */
function bucketStart(index: number): number {
  return index === 0 ? 0 : 2 ** (index - 1);
}

function barLines(row: HistogramRow): string[] {
  const maxCount = Math.max(...row.buckets, 1);
  const first = row.buckets.findIndex((count) => count > 0);
  if (first < 0) return [];
  return row.buckets.slice(first).map((count, offset) => {
    const from = textOfValue(row.measure, bucketStart(first + offset)).padStart(9);
    const bar = BAR.repeat(Math.ceil((count / maxCount) * BAR_WIDTH));
    return `  ${from} |${bar.padEnd(BAR_WIDTH)} ${count}`;
  });
}

function summaryLine(row: HistogramRow): string {
  const text = (value: number) => textOfValue(row.measure, value);
  const values = `p50 ${text(row.p50)}, p90 ${text(row.p90)}, p99 ${text(row.p99)}, max ${text(row.max)}`;
  return `${row.measure} of ${row.group} ${row.key}: ${row.count} calls, ${values}`;
}

/** Runs `histograms`: prints the histograms of one daemon as bar charts. */
export async function runHistograms(
  context: CommandContext,
  flags: HistogramsFlags,
): CommandResult {
  const address = daemonAddress(context, flags);
  if (address.isErr()) return address;
  const response = await context.peers.call<HistogramRow[]>(
    address.value,
    ControlMethod.histograms,
    {},
    TIMEOUT_MS,
  );
  if (response.isErr()) return response;
  const rows = response.value
    .filter((row) => flags.measure === undefined || row.measure === flags.measure)
    .filter((row) => flags.group === undefined || row.group === flags.group)
    .filter((row) => row.count > 0);
  const { output } = context;
  if (flags.json) printJson(output, rows);
  else if (rows.length === 0) output.print('no measurements yet');
  else {
    rows.forEach((row) =>
      [summaryLine(row), ...barLines(row)].forEach((line) => output.print(line)),
    );
  }
  return Ok(ResultCode.ok);
}
