import { Err, ResultCode, createFailure, createAtMostOnceExecutor } from '@shallotcroft/core';
import type { AtMostOnceExecutor, AtMostOnceOptions, AtMostOnceRunner } from '@shallotcroft/core';

/** Options of the executor that are set only when it starts. */
type StartOption = 'self' | 'service' | 'shards' | 'store';

/** Options of `createDeferredAtMostOnce`. */
export type DeferredAtMostOnceOptions = Omit<AtMostOnceOptions, StartOption> &
  Partial<Pick<AtMostOnceOptions, 'store'>>;

/** At-most-once executor that starts once the service and its number of shards are known. */
export interface DeferredAtMostOnce {
  /** Fails with `notHome` until the executor has started. */
  run: AtMostOnceRunner;
  /** Starts the executor; does nothing if it was started or left before, or without a store. */
  start(startOptions: Pick<AtMostOnceOptions, 'self' | 'service' | 'shards'>): void;
  /** Hands the shards over and stops the executor; further calls return the same promise. */
  leave(): Promise<void>;
}

/** Creates an executor that has not started. */
export function createDeferredAtMostOnce(options: DeferredAtMostOnceOptions): DeferredAtMostOnce {
  let executor: AtMostOnceExecutor | undefined;
  let leaving: Promise<void> | undefined;

  async function leaveAndStop(): Promise<void> {
    await executor?.leave();
    await executor?.stop();
  }

  return {
    run: async (key, execute) => {
      if (executor) return executor.execute(key, execute);
      const message =
        'at-most-once execution has not started on this daemon; it needs a store and a configuration';
      return Err(createFailure(ResultCode.notHome, message));
    },
    start: (startOptions) => {
      const { store } = options;
      if (executor || leaving || !store) return;
      executor = createAtMostOnceExecutor({ ...options, ...startOptions, store });
      executor.start();
    },
    leave: () => {
      leaving ??= leaveAndStop();
      return leaving;
    },
  };
}
