import type { AttemptAllowance } from '../attempts/attemptAllowance.js';
import type { CallContext } from './callContext.js';
import type { CallPolicy } from '../configuration/configuration.js';
import type { DownstreamCalls } from '../admission/downstreamCalls.js';

/** Call that the target beside this daemon executes. */
export interface RunningCall {
  /** Id that the target copies to the `x-shallotcroft-parent` header of its child calls. */
  id: string;
  policy: CallPolicy;
  context: CallContext;
  allowance: AttemptAllowance;
  /** Aborted when the results of child calls are no longer needed; cancels the child calls. */
  signal: AbortSignal;
  /** Child calls that the target makes for this call. */
  downstream: DownstreamCalls;
  /** Number of child calls started so far, by name of the call. */
  childCounts: Map<string, number>;
}

/** Calls that the target executes, by id. */
export interface RunningCalls {
  begin(call: RunningCall): void;
  end(id: string): void;
  find(id: string): RunningCall | undefined;
  count(): number;
}

/** Creates an empty table of running calls. */
export function createRunningCalls(): RunningCalls {
  const running = new Map<string, RunningCall>();
  return {
    begin: (call) => {
      running.set(call.id, call);
    },
    end: (id) => {
      running.delete(id);
    },
    find: (id) => running.get(id),
    count: () => running.size,
  };
}
