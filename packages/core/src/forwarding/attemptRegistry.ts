import type { Clock } from '../runtime/clock.js';

/** What the daemon beside a target says when asked to void an attempt. */
export type VoidOutcome = 'voided' | 'begun' | 'unknown';

type AttemptState = 'waiting' | 'begun' | 'voided';

interface Attempt {
  state: AttemptState;
  /** When nobody asks about it any more, on the monotonic clock, in milliseconds. */
  forgottenAt: number;
}

/** Time that an attempt is remembered past its deadline, in milliseconds. */
const MEMORY_PAST_DEADLINE_MS = 2000;
/** Time that a voided attempt is remembered: longer than any caller waits, in milliseconds. */
const VOIDED_MEMORY_MS = 60_000;
const SWEEP_INTERVAL_MS = 1000;

/**
 * Attempts that reached the daemon beside the target, so that an attempt whose connection was
 * lost can be proved not to have run.
 */
export class AttemptRegistry {
  private readonly attempts = new Map<string, Attempt>();

  private sweptAt: number;

  constructor(private readonly clock: Clock) {
    this.sweptAt = clock.now();
  }

  /** Notes an attempt that waits; false when it was voided before it came. */
  arrive(id: string, deadlineAt: number): boolean {
    this.sweep();
    if (this.attempts.has(id)) return false;
    const forgottenAt = deadlineAt + MEMORY_PAST_DEADLINE_MS;
    this.attempts.set(id, { state: 'waiting', forgottenAt });
    return true;
  }

  /** The attempt goes to the target now; false when it was voided while it waited. */
  begin(id: string): boolean {
    const attempt = this.attempts.get(id);
    if (attempt?.state !== 'waiting') return false;
    attempt.state = 'begun';
    return true;
  }

  /** Sees to it that the attempt never begins, unless it already has. */
  void(id: string): VoidOutcome {
    this.sweep();
    const attempt = this.attempts.get(id);
    if (attempt?.state === 'begun') return 'begun';
    const forgottenAt = this.clock.now() + VOIDED_MEMORY_MS;
    this.attempts.set(id, { state: 'voided', forgottenAt });
    return 'voided';
  }

  private sweep(): void {
    const now = this.clock.now();
    if (now - this.sweptAt < SWEEP_INTERVAL_MS) return;
    this.sweptAt = now;
    this.attempts.forEach((attempt, id) => {
      if (attempt.forgottenAt < now) this.attempts.delete(id);
    });
  }
}
