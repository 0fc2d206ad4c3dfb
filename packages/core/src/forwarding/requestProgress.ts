import type { CallResponse } from '../calls/call.js';
import { importances } from '../configuration/configuration.js';
import type { Importance } from '../configuration/configuration.js';
import { isNotRun, isOutcomeUnknown } from '../runtime/resultCode.js';
import type { ResultNumber } from '../runtime/resultCode.js';
import type { Route } from '../routes/route.js';
import { priorityOf } from '../admission/shedLevel.js';
import type { ForwardedRequest } from './forwardedRequest.js';
import type { CallTreeContext } from './callTrees.js';

/** Result of one attempt. */
export interface AttemptResult {
  code: ResultNumber;
  message: string;
  /** Whether any byte of the request may have been sent to the target. */
  reached: boolean;
  /** The target's response; undefined unless `code` is `ok`. */
  response: CallResponse | undefined;
}

function importanceOf(rank: number): Importance {
  return importances[Math.min(Math.max(0, rank), importances.length - 1)] as Importance;
}

/** State of a request while its attempts are made. */
export class RequestProgress {
  readonly importance: Importance;

  /** Id of the request at the root of the call tree. */
  readonly rootId: string;

  /** True when a target made this call while it ran another request. */
  readonly isChildCall: boolean;

  /** Position in the shed order; the same for all requests of the call tree. */
  readonly priority: number;

  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineAt: number;

  /** Keys of the targets tried in the current round. */
  readonly triedTargets = new Set<string>();

  /** Hops made so far, including those that the daemon beside the target rejected. */
  hops = 0;

  /** Attempts that count against the route's limit: some bytes were sent, and not rejected. */
  attempts = 0;

  /** True after an attempt with a response of the target or with an unknown outcome. */
  mayHaveRun = false;

  constructor(
    readonly request: ForwardedRequest,
    readonly route: Route,
    readonly service: string,
    readonly signal: AbortSignal,
    readonly arrivedAt: number,
    tree: CallTreeContext | undefined,
  ) {
    this.importance = tree?.importance ?? importanceOf(route.rank);
    this.rootId = tree?.rootId ?? request.id;
    this.isChildCall = tree !== undefined;
    this.priority = priorityOf(this.importance, this.rootId);
    const timeoutMs = Math.min(request.remainingMs ?? Infinity, route.timeoutMs);
    this.deadlineAt = arrivedAt + timeoutMs;
  }

  /** Records that the request is sent to a target. */
  recordHop(key: string): void {
    this.triedTargets.add(key);
    this.hops += 1;
  }

  /** Allows all targets to be tried again: those that rejected the request may accept it now. */
  startAnotherRound(): void {
    this.triedTargets.clear();
  }

  /** Records the result of an attempt. */
  recordResult(result: AttemptResult): void {
    // A target that rejected the request has not run it, so the attempt is not counted.
    if (result.reached && !isNotRun(result.code)) this.attempts += 1;
    if (result.response || isOutcomeUnknown(result.code)) this.mayHaveRun = true;
  }
}
