/** A number of slots; work waits for a free one, first come, first served. */
export class Slots {
  private readonly waiting: (() => void)[] = [];

  constructor(private free: number) {}

  /** Runs `work` in a slot. */
  async run(work: () => Promise<void>): Promise<void> {
    if (this.free > 0) this.free -= 1;
    else {
      await new Promise<void>((resolve) => {
        this.waiting.push(resolve);
      });
    }
    try {
      await work();
    } finally {
      const next = this.waiting.shift();
      if (next) next();
      else this.free += 1;
    }
  }
}
