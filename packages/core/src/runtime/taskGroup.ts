import type { Clock } from './clock.js';
import type { Logger } from '../observability/logger.js';

/** Tasks that end together. */
export class TaskGroup {
  private readonly running = new Set<Promise<void>>();

  private readonly stopping = new AbortController();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** True once the group is told to stop. */
  get stopped(): boolean {
    return this.stopping.signal.aborted;
  }

  /** Runs a task; an error is logged and ends just that task. */
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

  /** Tells the tasks to stop and waits for them. */
  async stop(): Promise<void> {
    this.stopping.abort(new Error('stopped'));
    await Promise.allSettled([...this.running]);
  }
}
