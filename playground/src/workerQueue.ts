/** So many workers, and a queue without bound before them. */
export class WorkerQueue {
  private readonly queue: (() => void)[] = [];

  constructor(private free: number) {}

  /** Resolves when a worker is free. */
  async enter(): Promise<void> {
    if (this.free > 0) {
      this.free -= 1;
      return;
    }
    await new Promise<void>((resolve) => {
      this.queue.push(resolve);
    });
  }

  /** Gives the worker to the next in the queue. */
  leave(): void {
    const next = this.queue.shift();
    if (next) next();
    else this.free += 1;
  }

  /** Forgets those who wait. */
  clear(): void {
    this.queue.length = 0;
  }
}
