import winston from 'winston';

/** Log levels, the most severe first. */
export const levels = ['error', 'warn', 'info', 'debug'] as const;

/** Log level. */
export type LogLevel = (typeof levels)[number];

/** Structured fields of a log line. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Writes log lines. */
export interface Logger {
  log(level: LogLevel, message: string, fields?: LogFields): void;
}

/** Output stream of log lines. */
export type LogStream = 'stdout' | 'stderr';

/** Creates a logger that writes one JSON object per line, with the `common` fields in each. */
export function createLogger(
  level: LogLevel,
  common: LogFields,
  stream: LogStream = 'stderr',
): Logger {
  const target = winston.createLogger({
    level,
    defaultMeta: common,
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [
      new winston.transports.Console({ stderrLevels: stream === 'stderr' ? [...levels] : [] }),
    ],
  });
  const maxLevel = levels.indexOf(level);
  return {
    log: (lineLevel, message, fields) => {
      // Disabled levels are skipped here so that they add no cost to a call.
      if (levels.indexOf(lineLevel) <= maxLevel) target.log(lineLevel, message, fields);
    },
  };
}

/** Logger that discards all lines. */
export const silentLogger: Logger = { log: () => undefined };
