import type { HistogramRow } from './control.js';
import type { Counters } from './counters.js';

const metricNames: Record<HistogramRow['measure'], string> = {
  latency: 'latency_microseconds',
  queueTime: 'queue_time_microseconds',
  attempts: 'attempts',
  concurrency: 'concurrency',
};

function linesOf(row: HistogramRow): string[] {
  const name = `shallotcroft_${metricNames[row.measure]}`;
  const labels = `${row.group}="${row.key}"`;
  return [
    `${name}{${labels},quantile="0.5"} ${row.p50}`,
    `${name}{${labels},quantile="0.9"} ${row.p90}`,
    `${name}{${labels},quantile="0.99"} ${row.p99}`,
    `${name}{${labels},quantile="1"} ${row.max}`,
    `${name}_count{${labels}} ${row.count}`,
  ];
}

/** Formats metrics in the Prometheus text format: gauges, counters and histogram quantiles. */
export function metricsText(
  gauges: Record<string, number>,
  counters: Counters,
  rows: HistogramRow[],
): string {
  const lines = [
    ...Object.entries(gauges).map(([name, value]) => `shallotcroft_${name} ${value}`),
    ...counters.entries().map(([name, count]) => `shallotcroft_${name} ${count}`),
    ...rows.flatMap(linesOf),
  ];
  return `${lines.join('\n')}\n`;
}
