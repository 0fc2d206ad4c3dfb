import type { Clock } from '../runtime/clock.js';
import type { LogLevel, Logger } from './logger.js';

/** Maximum number of lines per second with the same message. */
const MAX_LINES_PER_SECOND = 20;
/** How often suppressed lines are reported, in milliseconds. */
const REPORT_INTERVAL_MS = 5000;
/** Length of the window in which the lines of a message are counted. */
const WINDOW_MS = 1000;

interface MessageCount {
  windowStart: number;
  written: number;
  suppressed: number;
}

/**
 * Creates a logger that limits the log volume under load: the lines per second of each message are
 * limited, and lines are dropped instead of blocking when the reader of the log is slow. Lines of
 * level `debug` are not limited.
 */
export function createBoundedLogger(
  logger: Logger,
  clock: Clock,
  isReaderSlow: () => boolean,
): Logger {
  const counts = new Map<string, MessageCount>();
  let reportedAt = clock.now();

  function report(now: number): void {
    if (now - reportedAt < REPORT_INTERVAL_MS) return;
    reportedAt = now;
    counts.forEach((count, message) => {
      if (count.suppressed === 0) return;
      logger.log('warn', 'log lines suppressed', { suppressed: message, lines: count.suppressed });
      counts.set(message, { ...count, suppressed: 0 });
    });
  }

  function isWithinRate(message: string, now: number): boolean {
    let count = counts.get(message);
    if (!count) {
      count = { windowStart: now, written: 0, suppressed: 0 };
      counts.set(message, count);
    }
    if (now - count.windowStart >= WINDOW_MS) {
      count.windowStart = now;
      count.written = 0;
    }
    if (count.written >= MAX_LINES_PER_SECOND || isReaderSlow()) {
      count.suppressed += 1;
      return false;
    }
    count.written += 1;
    return true;
  }

  return {
    log: (level: LogLevel, message, fields) => {
      if (level === 'debug') {
        logger.log(level, message, fields);
        return;
      }
      const now = clock.now();
      report(now);
      if (isWithinRate(message, now)) logger.log(level, message, fields);
    },
  };
}
