import winston from 'winston';

/** Levels of a log line, the most urgent first. */
export const levels = ['error', 'warn', 'info', 'debug'] as const;

/** Level of a log line. */
export type LogLevel = (typeof levels)[number];

/** Fields of a log line. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Writes log lines. */
export interface Logger {
  log(level: LogLevel, message: string, fields?: LogFields): void;
}

/** Stream that log lines go to. */
export type LogStream = 'stdout' | 'stderr';

/** A logger that writes one JSON object a line. */
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
  const wanted = levels.indexOf(level);
  return {
    log: (lineLevel, message, fields) => {
      // Lines that are not wanted must cost calls nothing.
      if (levels.indexOf(lineLevel) <= wanted) target.log(lineLevel, message, fields);
    },
  };
}

/** A logger that writes nothing. */
export const silentLogger: Logger = { log: () => undefined };
