import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { AttemptGrant } from './attemptGrant.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { ResultCode } from '../runtime/resultCode.js';

/** Most tokens that one call may carry. */
export const MAX_ATTEMPT_TOKENS = 100;

/**
 * Further attempts that one call may cause, at its own hop and below.
 * First attempts are free; every further one costs a token, and a token is in one place only.
 * A root with `t` tokens and a call tree of `n` calls makes at most `(1 + t) * n` attempts.
 */
export class AttemptAllowance {
  private free: number;

  private closed = false;

  private readonly started = new Set<string>();

  /** `children` is how many calls below are expected, by the call graph. */
  constructor(
    tokens: number,
    private readonly children: number,
  ) {
    this.free = tokens;
  }

  /** Tokens that are neither spent nor handed out. */
  get left(): number {
    return this.closed ? 0 : this.free;
  }

  /** Pays for one further attempt; false when nothing is left. */
  spend(): boolean {
    if (this.left === 0) return false;
    this.free -= 1;
    return true;
  }

  /**
   * Hands an attempt what is left, but for one token when there are several: should the answer
   * be lost, and all that was handed out with it, one retry remains here.
   */
  grantForAttempt(): AttemptGrant {
    if (this.children === 0) return this.grant(0);
    const kept = this.left > 1 ? 1 : 0;
    return this.grant(this.left - kept);
  }

  /**
   * Hands a child its share: what is left, divided by the children that have not started.
   * `id` names the child within this execution. Starting the same child again is a further
   * attempt and costs a token; undefined when there is none.
   */
  grantForChild(id: string): AttemptGrant | undefined {
    if (this.closed) return undefined;
    if (this.started.has(id) && !this.spend()) return undefined;
    const waiting = Math.max(1, this.children - this.started.size);
    this.started.add(id);
    return this.grant(Math.ceil(this.left / waiting));
  }

  /** Ends the call and tells what was not spent; later returns are lost. */
  close(): number {
    const unspent = this.left;
    this.closed = true;
    return unspent;
  }

  private grant(tokens: number): AttemptGrant {
    this.free -= tokens;
    return new AttemptGrant(tokens, (unspent) => {
      if (!this.closed) this.free += unspent;
    });
  }
}

/** Reads a header with a number of tokens. A missing header means none. Fails with `badHeader`. */
export function parseTokens(header: string | undefined): Result<number, Failure> {
  if (header === undefined) return Ok(0);
  const tokens = /^\d{1,3}$/.test(header) ? Number(header) : Infinity;
  if (tokens <= MAX_ATTEMPT_TOKENS) return Ok(tokens);
  const message = `send a whole number of tokens from 0 to ${MAX_ATTEMPT_TOKENS}`;
  return Err(createFailure(ResultCode.badHeader, message));
}
