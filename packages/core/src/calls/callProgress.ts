import type { AttemptAllowance } from '../attempts/attemptAllowance.js';
import type { CallRequest } from './call.js';
import type { CallContext } from './callContext.js';
import type { CallOrigin } from './callOrigin.js';
import type { CallPolicy } from '../configuration/configuration.js';
import type { Member } from '../membership/member.js';

/** State of a call while its attempts are made. */
export class CallProgress {
  readonly policy: CallPolicy;

  readonly context: CallContext;

  readonly allowance: AttemptAllowance;

  /** True for the root of a call tree. */
  readonly isRoot: boolean;

  /** True when no other call can carry the same idempotency key. */
  readonly isKeyExclusive: boolean;

  private readonly triedIncarnations = new Set<string>();

  private attemptCount = 0;

  private hasUnknownOutcome = false;

  constructor(
    readonly request: CallRequest,
    origin: CallOrigin,
    readonly signal: AbortSignal,
  ) {
    this.policy = origin.policy;
    this.context = origin.context;
    this.allowance = origin.allowance;
    this.isRoot = origin.signal === undefined;
    this.isKeyExclusive = origin.isKeyExclusive;
  }

  /** Number of attempts made so far. */
  get attempts(): number {
    return this.attemptCount;
  }

  /** Incarnations of the daemons that attempts were sent to. */
  get tried(): ReadonlySet<string> {
    return this.triedIncarnations;
  }

  /** True once an attempt may have run; the call can then no longer end with a `notRun…` code. */
  get mayHaveRun(): boolean {
    return this.hasUnknownOutcome;
  }

  /** Records an attempt that is sent to `member`. */
  recordAttempt(member: Member): void {
    this.attemptCount += 1;
    this.triedIncarnations.add(member.incarnation);
  }

  /** Records that an attempt ended with an unknown outcome. */
  recordUnknownOutcome(): void {
    this.hasUnknownOutcome = true;
  }
}
