import type { AttemptAllowance } from '../attempts/attemptAllowance.js';
import type { CallRequest } from './call.js';
import type { CallContext } from './callContext.js';
import type { CallOrigin } from './callOrigin.js';
import type { CallPolicy } from '../configuration/configuration.js';
import type { Member } from '../membership/member.js';

/** One call while its attempts are made. */
export class CallProgress {
  readonly policy: CallPolicy;

  readonly context: CallContext;

  readonly allowance: AttemptAllowance;

  /** True for the first call of a tree. */
  readonly isRoot: boolean;

  /** True when no attempt outside this call can carry the same key. */
  readonly keyIsSole: boolean;

  private readonly triedMembers = new Set<string>();

  private attemptCount = 0;

  private unknown = false;

  constructor(
    readonly request: CallRequest,
    origin: CallOrigin,
    readonly signal: AbortSignal,
  ) {
    this.policy = origin.policy;
    this.context = origin.context;
    this.allowance = origin.allowance;
    this.isRoot = origin.signal === undefined;
    this.keyIsSole = origin.keyIsSole;
  }

  /** Attempts made so far. */
  get attempts(): number {
    return this.attemptCount;
  }

  /** Incarnations of the daemons that were tried. */
  get tried(): ReadonlySet<string> {
    return this.triedMembers;
  }

  /** True once an attempt may have run: from then on "not run" is no longer the truth. */
  get mayHaveRun(): boolean {
    return this.unknown;
  }

  /** Counts an attempt. */
  recordAttempt(member: Member): void {
    this.attemptCount += 1;
    this.triedMembers.add(member.incarnation);
  }

  /** Notes that an attempt ended without telling whether it ran. */
  recordUnknownOutcome(): void {
    this.unknown = true;
  }
}
