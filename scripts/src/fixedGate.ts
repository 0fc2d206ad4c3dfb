/** Length limit of the queue, per slot. */
const QUEUED_CALLS_PER_SLOT = 2;

/** Fixed concurrency limit with a bounded first-in first-out queue; rejects calls beyond it. */
export class FixedGate {
  private freeSlots: number;

  private readonly queue: (() => void)[] = [];

  constructor(private readonly slots: number) {
    this.freeSlots = slots;
  }

  /** Waits for a slot; resolves to false at once when the queue is full. */
  async enter(): Promise<boolean> {
    if (this.freeSlots > 0) {
      this.freeSlots -= 1;
      return true;
    }
    if (this.queue.length >= QUEUED_CALLS_PER_SLOT * this.slots) return false;
    await new Promise<void>((resolve) => {
      this.queue.push(resolve);
    });
    return true;
  }

  /** Releases a slot to the first queued call. */
  leave(): void {
    const next = this.queue.shift();
    if (next) next();
    else this.freeSlots += 1;
  }
}
