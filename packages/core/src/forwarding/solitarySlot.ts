import type { Clock } from '../runtime/clock.js';

/** Largest number of requests that wait for the slot. */
const MAX_WAITING = 256;

interface Waiter {
  pass(): void;
  giveUp(): void;
}

/** Lets one request at a time through, in order of arrival. */
export class SolitarySlot {
  private isTaken = false;

  /** Waiting requests in order of arrival, with what ends their timers and listeners. */
  private readonly waiting = new Map<Waiter, () => void>();

  constructor(private readonly clock: Clock) {}

  /** Takes the slot; false if it is not free by the deadline, or the request is cancelled. */
  take(deadlineAt: number, signal: AbortSignal): Promise<boolean> {
    if (!this.isTaken) {
      this.isTaken = true;
      return Promise.resolve(true);
    }
    if (signal.aborted || this.waiting.size >= MAX_WAITING) return Promise.resolve(false);
    return new Promise((resolve) => {
      const waiter: Waiter = { pass: () => resolve(true), giveUp: () => resolve(false) };
      const remainingMs = Math.max(0, deadlineAt - this.clock.now());
      const timer = this.clock.startTimer(remainingMs, () => this.remove(waiter)?.giveUp());
      const onAbort = (): void => this.remove(waiter)?.giveUp();
      signal.addEventListener('abort', onAbort, { once: true });
      this.waiting.set(waiter, () => {
        timer.cancel();
        signal.removeEventListener('abort', onAbort);
      });
    });
  }

  /** Passes the slot on. */
  free(): void {
    const next = this.waiting.keys().next();
    if (next.done) this.isTaken = false;
    else this.remove(next.value)?.pass();
  }

  /** Removes a waiter; undefined if it has been removed already. */
  private remove(waiter: Waiter): Waiter | undefined {
    const cleanUp = this.waiting.get(waiter);
    if (!cleanUp) return undefined;
    this.waiting.delete(waiter);
    cleanUp();
    return waiter;
  }
}
