/** Limits how many asynchronous tasks run at once; the others wait in FIFO order. */
export class Semaphore {
  private readonly waiting: (() => void)[] = [];

  constructor(private freeSlots: number) {}

  /** Runs `task` as soon as a slot is free, and releases the slot when it has settled. */
  async run(task: () => Promise<void>): Promise<void> {
    if (this.freeSlots > 0) this.freeSlots -= 1;
    else {
      await new Promise<void>((resolve) => {
        this.waiting.push(resolve);
      });
    }
    try {
      await task();
    } finally {
      const next = this.waiting.shift();
      if (next) next();
      else this.freeSlots += 1;
    }
  }
}
