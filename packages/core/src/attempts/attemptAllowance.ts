import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { AttemptGrant } from './attemptGrant.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { ResultCode } from '../runtime/resultCode.js';

/** Largest number of tokens that one call may carry. */
export const MAX_ATTEMPT_TOKENS = 100;

/**
 * Tokens for the further attempts that one call may cause, at its own hop and downstream.
 * First attempts cost nothing and every further one costs a token. A token moves to an attempt or a
 * child call and is never copied, so a root call with `t` tokens and a call tree of `n` calls
 * causes at most `(1 + t) * n` attempts.
 */
export class AttemptAllowance {
  private available: number;

  private isClosed = false;

  private readonly startedChildren = new Set<string>();

  /** `expectedChildren` is the number of child calls in the configured call graph. */
  constructor(
    tokens: number,
    private readonly expectedChildren: number,
  ) {
    this.available = tokens;
  }

  /** Tokens that are neither spent nor granted; 0 once the call has ended. */
  get left(): number {
    return this.isClosed ? 0 : this.available;
  }

  /** Spends a token on one further attempt; false when none is left. */
  spend(): boolean {
    if (this.left === 0) return false;
    this.available -= 1;
    return true;
  }

  /**
   * Grants an attempt all tokens that are left, except one when there are several: if the response
   * is lost, and with it the granted tokens, one retry remains possible here.
   */
  grantForAttempt(): AttemptGrant {
    if (this.expectedChildren === 0) return this.grant(0);
    const kept = this.left > 1 ? 1 : 0;
    return this.grant(this.left - kept);
  }

  /**
   * Grants a child call its share of the tokens: those left, divided by the number of child calls
   * not yet started. `id` identifies the child call within this execution. Starting it again is a
   * further attempt and costs a token; undefined when none is left or the call has ended.
   */
  grantForChild(id: string): AttemptGrant | undefined {
    if (this.isClosed) return undefined;
    if (this.startedChildren.has(id) && !this.spend()) return undefined;
    const unstarted = Math.max(1, this.expectedChildren - this.startedChildren.size);
    this.startedChildren.add(id);
    return this.grant(Math.ceil(this.left / unstarted));
  }

  /** Ends the call and returns its unspent tokens; grants settled later return none. */
  close(): number {
    const unspent = this.left;
    this.isClosed = true;
    return unspent;
  }

  private grant(tokens: number): AttemptGrant {
    this.available -= tokens;
    return new AttemptGrant(tokens, (unspent) => {
      if (!this.isClosed) this.available += unspent;
    });
  }
}

/** Parses a header with a number of tokens; 0 when it is missing. Fails with `badHeader`. */
export function parseTokens(header: string | undefined): Result<number, Failure> {
  if (header === undefined) return Ok(0);
  const tokens = /^\d{1,3}$/.test(header) ? Number(header) : Infinity;
  if (tokens <= MAX_ATTEMPT_TOKENS) return Ok(tokens);
  const message = `send an integer from 0 to ${MAX_ATTEMPT_TOKENS} as the number of tokens`;
  return Err(createFailure(ResultCode.badHeader, message));
}
