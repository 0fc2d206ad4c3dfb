import winston from 'winston';

/** Levels of a log line. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

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
  return { log: (lineLevel, message, fields) => target.log(lineLevel, message, fields) };
}

/** A logger that writes nothing. */
export const silentLogger: Logger = { log: () => undefined };
