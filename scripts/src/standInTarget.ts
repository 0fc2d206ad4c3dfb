import { systemClock } from '@shallotcroft/core';
import { WorkerQueue } from '@shallotcroft/playground';

/** Work of a target after its own service time, such as a child call; resolves to its success. */
export type ChildWork = (signal: AbortSignal) => Promise<boolean>;

/** In-process stand-in for a target, with slots, a service time and an unbounded queue. */
export class StandInTarget {
  /** Executions begun, by root call. */
  readonly executions = new Map<string, number>();

  private readonly workers: WorkerQueue;

  private slowdownFactor = 1;

  constructor(
    slots: number,
    private readonly workMs: number,
  ) {
    this.workers = new WorkerQueue(slots);
  }

  /** Multiplies the service time by `factor`; 1 is normal. */
  setSlowdown(factor: number): void {
    this.slowdownFactor = factor;
  }

  /** Drops the queued calls. */
  stop(): void {
    this.workers.clear();
  }

  /**
   * Runs one call; resolves to false when it failed or was cancelled. A cancelled call releases its
   * slot at once.
   */
  async run(root: string, signal: AbortSignal, childWork: ChildWork): Promise<boolean> {
    await this.workers.enter();
    try {
      if (signal.aborted) return false;
      this.executions.set(root, (this.executions.get(root) ?? 0) + 1);
      await systemClock.sleep(this.workMs * this.slowdownFactor, signal);
      return await childWork(signal);
    } catch {
      return false;
    } finally {
      this.workers.leave();
    }
  }
}

/** Sums the executions of several targets by root call. */
export function mergeExecutions(targets: Iterable<StandInTarget>): Map<string, number> {
  const sums = new Map<string, number>();
  for (const target of targets) {
    target.executions.forEach((count, root) => sums.set(root, (sums.get(root) ?? 0) + count));
  }
  return sums;
}
