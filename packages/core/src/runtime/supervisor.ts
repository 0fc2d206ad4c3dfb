import type { Clock } from './clock.js';
import type { Logger } from '../observability/logger.js';
import type { RandomSource } from './random.js';

const RESTART_BASE_MS = 100;
const RESTART_CAP_MS = 5000;

/** A long-lived part of a process. */
export interface Part {
  name: string;
  start(): Promise<void>;
  /** Ends the part gracefully; may take as long as work in flight takes. */
  stop(): Promise<void>;
}

/** Starts parts in order, stops them in reverse, and restarts tasks that fail. */
export interface Supervisor {
  /** Starts the part; the parts started before it are stopped after it. */
  start(part: Part): Promise<void>;
  /** Runs `task` until the supervisor stops; a task that throws is started again after a wait. */
  runTask(name: string, task: (signal: AbortSignal) => Promise<void>): void;
  /** Stops everything in reverse order of start. Calling it twice waits for the same end. */
  stop(): Promise<void>;
}

/** What a supervisor needs. */
export interface SupervisorOptions {
  clock: Clock;
  random: RandomSource;
  logger: Logger;
}

async function keepRunning(
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
      options.logger.log('warn', 'task failed; it is started again', {
        task: name,
        failures,
        error: (error as Error).message,
      });
      const cap = Math.min(RESTART_CAP_MS, RESTART_BASE_MS * 2 ** failures);
      await options.clock.sleep(options.random.next() * cap, signal).catch(() => undefined);
    }
  }
}

/** Makes a supervisor that supervises nothing yet. */
export function createSupervisor(options: SupervisorOptions): Supervisor {
  const parts: Part[] = [];
  const tasks = new Set<Promise<void>>();
  const stopping = new AbortController();
  let stopped: Promise<void> | undefined;

  async function stopAll(): Promise<void> {
    stopping.abort(new Error('the supervisor stops'));
    while (parts.length > 0) {
      const part = parts.pop() as Part;
      options.logger.log('info', 'part stops', { part: part.name });
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
      const running = keepRunning(name, task, stopping.signal, options);
      tasks.add(running);
      running.finally(() => tasks.delete(running)).catch(() => undefined);
    },
    stop: () => {
      stopped ??= stopAll();
      return stopped;
    },
  };
}
