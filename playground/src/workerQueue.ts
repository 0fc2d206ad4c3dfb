/** A fixed number of workers with an unbounded queue. */
export class WorkerQueue {
  private readonly queue: (() => void)[] = [];

  constructor(private freeWorkers: number) {}

  /** Takes a worker; resolves as soon as one is free. */
  async enter(): Promise<void> {
    if (this.freeWorkers > 0) {
      this.freeWorkers -= 1;
      return;
    }
    await new Promise<void>((resolve) => {
      this.queue.push(resolve);
    });
  }

  /** Releases a worker, which passes to the next in the queue. */
  leave(): void {
    const next = this.queue.shift();
    if (next) next();
    else this.freeWorkers += 1;
  }

  /** Empties the queue; the pending `enter` calls never resolve. */
  clear(): void {
    this.queue.length = 0;
  }
}
