import type { Clock } from './clock.js';
import type { Logger } from '../observability/logger.js';

/** A group of tasks that are stopped together. */
export class TaskGroup {
  private readonly running = new Set<Promise<void>>();

  private readonly stopping = new AbortController();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** True once `stop` was called. */
  get stopped(): boolean {
    return this.stopping.signal.aborted;
  }

  /** Runs a task; an error is logged and ends only that task. */
  spawn(task: () => Promise<void>): void {
    if (this.stopped) return;
    const running = task().catch((error: unknown) => {
      this.logger.log('error', 'task failed', { error: (error as Error).message });
    });
    this.running.add(running);
    running.finally(() => this.running.delete(running)).catch(() => undefined);
  }

  /** Sleeps for `ms` milliseconds, or until the group stops. */
  async sleep(ms: number): Promise<void> {
    await this.clock.sleep(ms, this.stopping.signal).catch(() => undefined);
  }

  /** Signals the tasks to stop and waits until they have ended. */
  async stop(): Promise<void> {
    this.stopping.abort(new Error('stopped'));
    await Promise.allSettled([...this.running]);
  }
}
