import type { AttemptAllowance } from '../attempts/attemptAllowance.js';
import type { CallContext } from './callContext.js';
import type { CallPolicy } from '../configuration/configuration.js';
import type { DownstreamCalls } from '../admission/downstreamCalls.js';

/** A call that the target beside this daemon works on. */
export interface RunningCall {
  /** What the target copies onto the calls that it makes. */
  id: string;
  policy: CallPolicy;
  context: CallContext;
  allowance: AttemptAllowance;
  /** Aborted when the answer is no longer wanted; its children are aborted with it. */
  signal: AbortSignal;
  /** The calls that the target makes for this one. */
  below: DownstreamCalls;
  /** Children started so far, by name of the call. */
  children: Map<string, number>;
}

/** The calls that the target works on, by id. */
export interface RunningCalls {
  begin(call: RunningCall): void;
  end(id: string): void;
  find(id: string): RunningCall | undefined;
  count(): number;
}

/** Makes an empty table of running calls. */
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
