import type { Clock } from './clock.js';
import type { Logger } from '../observability/logger.js';
import type { RandomSource } from './random.js';

const BASE_RESTART_DELAY_MS = 100;
const MAX_RESTART_DELAY_MS = 5000;

/** A long-lived part of a process, started and stopped by a supervisor. */
export interface SupervisedPart {
  name: string;
  start(): Promise<void>;
  /** Stops the part gracefully; may wait for work in flight. */
  stop(): Promise<void>;
}

/** Starts parts in order, stops them in reverse order, and restarts tasks that fail. */
export interface Supervisor {
  /** Starts a part; parts started earlier are stopped later. */
  start(part: SupervisedPart): Promise<void>;
  /** Runs `task` until the supervisor stops; restarts it with backoff if it throws. */
  runTask(name: string, task: (signal: AbortSignal) => Promise<void>): void;
  /**
   * Signals the tasks to stop, stops all parts in reverse order and waits for the tasks; further
   * calls wait for the same stop.
   */
  stop(): Promise<void>;
}

/** Options of `createSupervisor`. */
export interface SupervisorOptions {
  clock: Clock;
  random: RandomSource;
  logger: Logger;
}

async function runWithRestarts(
  name: string,
  task: (signal: AbortSignal) => Promise<void>,
  signal: AbortSignal,
  options: SupervisorOptions,
): Promise<void> {
  let failures = 0;
  while (!signal.aborted) {
    try {
      await task(signal);
      return;
    } catch (error) {
      if (signal.aborted) return;
      failures += 1;
      options.logger.log('warn', 'task failed; restarting it', {
        task: name,
        failures,
        error: (error as Error).message,
      });
      const maxDelayMs = Math.min(MAX_RESTART_DELAY_MS, BASE_RESTART_DELAY_MS * 2 ** failures);
      await options.clock.sleep(options.random.next() * maxDelayMs, signal).catch(() => undefined);
    }
  }
}

/** Creates a supervisor without parts or tasks. */
export function createSupervisor(options: SupervisorOptions): Supervisor {
  const parts: SupervisedPart[] = [];
  const tasks = new Set<Promise<void>>();
  const stopping = new AbortController();
  let stopped: Promise<void> | undefined;

  async function stopAll(): Promise<void> {
    stopping.abort(new Error('the supervisor is stopping'));
    while (parts.length > 0) {
      const part = parts.pop() as SupervisedPart;
      options.logger.log('info', 'stopping part', { part: part.name });
      try {
        await part.stop();
      } catch (error) {
        const { message } = error as Error;
        options.logger.log('error', 'part failed to stop', { part: part.name, error: message });
      }
    }
    await Promise.allSettled(tasks);
  }

  return {
    start: async (part) => {
      await part.start();
      parts.push(part);
      options.logger.log('debug', 'part started', { part: part.name });
    },
    runTask: (name, task) => {
      const running = runWithRestarts(name, task, stopping.signal, options);
      tasks.add(running);
      running.finally(() => tasks.delete(running)).catch(() => undefined);
    },
    stop: () => {
      stopped ??= stopAll();
      return stopped;
    },
  };
}
