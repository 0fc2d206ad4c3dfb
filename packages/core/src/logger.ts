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

/** A logger that writes one JSON object a line to standard error. */
export function createLogger(level: LogLevel, common: LogFields): Logger {
  const target = winston.createLogger({
    level,
    defaultMeta: common,
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [
      new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] }),
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
