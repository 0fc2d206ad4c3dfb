import { systemClock } from '@shallotcroft/core';
import { WorkerQueue } from '@shallotcroft/playground';

/** Work of a target after its own part, such as a call further down. */
export type Continuation = (signal: AbortSignal) => Promise<boolean>;

/** A small target: so many slots, a service time, and a queue without bound before the slots. */
export class StandInTarget {
  /** Executions begun, by root call. */
  readonly executions = new Map<string, number>();

  private readonly workers: WorkerQueue;

  private slowness = 1;

  constructor(
    slots: number,
    private readonly workMs: number,
  ) {
    this.workers = new WorkerQueue(slots);
  }

  /** Makes the target's own work this many times slower. */
  slowDown(factor: number): void {
    this.slowness = factor;
  }

  /** Forgets the calls that queue. */
  stop(): void {
    this.workers.clear();
  }

  /** Runs one call; false when it failed or was cancelled. A cancelled call gives its slot back. */
  async run(root: string, signal: AbortSignal, below: Continuation): Promise<boolean> {
    await this.workers.enter();
    try {
      if (signal.aborted) return false;
      this.executions.set(root, (this.executions.get(root) ?? 0) + 1);
      await systemClock.sleep(this.workMs * this.slowness, signal);
      return await below(signal);
    } catch {
      return false;
    } finally {
      this.workers.leave();
    }
  }
}

/** Sums the executions of several targets. */
export function mergeExecutions(targets: Iterable<StandInTarget>): Map<string, number> {
  const sums = new Map<string, number>();
  for (const target of targets) {
    target.executions.forEach((count, root) => sums.set(root, (sums.get(root) ?? 0) + count));
  }
  return sums;
}
