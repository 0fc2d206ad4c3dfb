import type { Clock } from '../runtime/clock.js';

/** Outcome of a request to void an attempt. */
export type VoidOutcome = 'voided' | 'begun' | 'unknown';

type AttemptState = 'waiting' | 'begun' | 'voided';

interface Attempt {
  state: AttemptState;
  /** When the attempt is removed, on the monotonic clock, in milliseconds. */
  expiresAt: number;
}

/**
 * Time that an attempt is kept, in milliseconds; longer than any caller waits, and than the age up to
 * which senders void attempts. An attempt that is not known counts as not arrived.
 */
const RETENTION_MS = 60_000;
const SWEEP_INTERVAL_MS = 1000;

/**
 * Attempts that arrived at the daemon beside the target. When the connection of an attempt is lost,
 * the sender voids the attempt here to be certain that it has not run and never will.
 */
export class AttemptRegistry {
  private readonly attempts = new Map<string, Attempt>();

  private lastSweepAt: number;

  constructor(private readonly clock: Clock) {
    this.lastSweepAt = clock.now();
  }

  /** Registers an attempt as waiting; returns false if it was voided before it arrived. */
  register(id: string, deadlineAt: number): boolean {
    this.removeExpired();
    if (this.attempts.has(id)) return false;
    const expiresAt = Math.max(deadlineAt, this.clock.now() + RETENTION_MS);
    this.attempts.set(id, { state: 'waiting', expiresAt });
    return true;
  }

  /** Marks an attempt as sent to the target; returns false if it was voided while it waited. */
  begin(id: string): boolean {
    const attempt = this.attempts.get(id);
    if (attempt?.state !== 'waiting') return false;
    attempt.state = 'begun';
    return true;
  }

  /** Voids an attempt, so that it never begins; returns `begun` if it already has. */
  void(id: string): VoidOutcome {
    this.removeExpired();
    const attempt = this.attempts.get(id);
    if (attempt?.state === 'begun') return 'begun';
    const expiresAt = this.clock.now() + RETENTION_MS;
    this.attempts.set(id, { state: 'voided', expiresAt });
    return 'voided';
  }

  private removeExpired(): void {
    const now = this.clock.now();
    if (now - this.lastSweepAt < SWEEP_INTERVAL_MS) return;
    this.lastSweepAt = now;
    this.attempts.forEach((attempt, id) => {
      if (attempt.expiresAt < now) this.attempts.delete(id);
    });
  }
}
