/** Calls that wait behind a fixed limit, in multiples of it. */
const QUEUE_PER_SLOT = 2;

/** Lets in so many calls, keeps a few more waiting in turn, and refuses the rest. */
export class FixedGate {
  private free: number;

  private readonly queue: (() => void)[] = [];

  constructor(private readonly slots: number) {
    this.free = slots;
  }

  /** False when too many wait. */
  async enter(): Promise<boolean> {
    if (this.free > 0) {
      this.free -= 1;
      return true;
    }
    if (this.queue.length >= QUEUE_PER_SLOT * this.slots) return false;
    await new Promise<void>((resolve) => {
      this.queue.push(resolve);
    });
    return true;
  }

  leave(): void {
    const next = this.queue.shift();
    if (next) next();
    else this.free += 1;
  }
}
