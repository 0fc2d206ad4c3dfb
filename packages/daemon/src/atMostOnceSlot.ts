import { Err, ResultCode, createFailure, createAtMostOnceExecutor } from '@shallotcroft/core';
import type { AtMostOnceExecutor, AtMostOnceOptions, AtMostOnceRunner } from '@shallotcroft/core';

/** What the slot itself knows only once the target and the configuration are known. */
type LateOptions = 'self' | 'service' | 'shards' | 'store';

/** What a slot needs. */
export type AtMostOnceSlotOptions = Omit<AtMostOnceOptions, LateOptions> &
  Partial<Pick<AtMostOnceOptions, 'store'>>;

/** Place of the at-most-once part, which begins once service and shards are known. */
export interface AtMostOnceSlot {
  run: AtMostOnceRunner;
  /** Begins unless it has begun. */
  begin(late: Pick<AtMostOnceOptions, 'self' | 'service' | 'shards'>): void;
  /** Hands the shards over, then ends; a further call waits for the same end. */
  leave(): Promise<void>;
}

/** Makes an empty slot. */
export function createAtMostOnceSlot(options: AtMostOnceSlotOptions): AtMostOnceSlot {
  let executor: AtMostOnceExecutor | undefined;
  let leaving: Promise<void> | undefined;

  async function handOver(): Promise<void> {
    await executor?.leave();
    await executor?.stop();
  }

  return {
    run: async (key, execute) => {
      if (executor) return executor.execute(key, execute);
      const message = 'this daemon holds no keys; calls that may run at most once need a store';
      return Err(createFailure(ResultCode.notHome, message));
    },
    begin: (late) => {
      const { store } = options;
      if (executor || leaving || !store) return;
      executor = createAtMostOnceExecutor({ ...options, ...late, store });
      executor.start();
    },
    leave: () => {
      leaving ??= handOver();
      return leaving;
    },
  };
}
