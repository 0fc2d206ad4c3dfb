import type { CallResponse } from '../calls/call.js';
import { importances } from '../configuration/configuration.js';
import type { Importance } from '../configuration/configuration.js';
import { isNotRun, isOutcomeUnknown } from '../runtime/resultCode.js';
import type { ResultNumber } from '../runtime/resultCode.js';
import type { Route } from '../routes/route.js';
import { priorityOf } from '../admission/shedLevel.js';
import type { ForwardedRequest } from './forwardedRequest.js';
import type { TreeContext } from './requestTrees.js';

/** How one attempt ended. */
export interface AttemptResult {
  code: ResultNumber;
  message: string;
  /** Whether any byte of the request may have reached the target. */
  reached: boolean;
  /** The target's answer when the code is `ok`. */
  response: CallResponse | undefined;
}

function importanceOf(rank: number): Importance {
  return importances[Math.min(Math.max(0, rank), importances.length - 1)] as Importance;
}

/** A request on its way, with what became of its attempts. */
export class RequestProgress {
  readonly importance: Importance;

  /** Id of the request at the root of the tree. */
  readonly rootId: string;

  /** True when a target made this call for another request. */
  readonly isChildCall: boolean;

  /** Place in the order of shedding; the same at every hop of the tree. */
  readonly priority: number;

  readonly deadlineAt: number;

  /** Targets that were asked. */
  readonly tried = new Set<string>();

  /** Daemons that were asked. */
  hops = 0;

  /** Attempts that may have run at a target. */
  attempts = 0;

  /** True when an attempt may have run. */
  mayHaveRun = false;

  constructor(
    readonly request: ForwardedRequest,
    readonly route: Route,
    readonly service: string,
    readonly signal: AbortSignal,
    readonly arrivedAt: number,
    tree: TreeContext | undefined,
  ) {
    this.importance = tree?.importance ?? importanceOf(route.rank);
    this.rootId = tree?.rootId ?? request.id;
    this.isChildCall = tree !== undefined;
    this.priority = priorityOf(this.importance, this.rootId);
    const waitMs = Math.min(request.remainingMs ?? Infinity, route.timeoutMs);
    this.deadlineAt = arrivedAt + waitMs;
  }

  /** A target is asked now. */
  recordHop(key: string): void {
    this.tried.add(key);
    this.hops += 1;
  }

  /** Every target was asked; those that refused may take the request at another try. */
  startAnotherRound(): void {
    this.tried.clear();
  }

  /** An attempt has ended. */
  recordEnd(end: AttemptResult): void {
    // A target that refused has not run the request, so the request has attempts left.
    if (end.reached && !isNotRun(end.code)) this.attempts += 1;
    if (end.response || isOutcomeUnknown(end.code)) this.mayHaveRun = true;
  }
}
