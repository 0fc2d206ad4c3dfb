import { Err, ResultCode, createFailure, createOneShot } from '@shallotcroft/core';
import type { OneShot, OneShotOptions, OneShotRunner } from '@shallotcroft/core';

/** What the slot itself knows only once the target and the configuration are known. */
type LateOptions = 'self' | 'service' | 'shards' | 'store';

/** What a slot needs. */
export type OneShotSlotOptions = Omit<OneShotOptions, LateOptions> &
  Partial<Pick<OneShotOptions, 'store'>>;

/** Place of the at-most-once part, which begins once service and shards are known. */
export interface OneShotSlot {
  run: OneShotRunner;
  /** Begins unless it has begun. */
  begin(late: Pick<OneShotOptions, 'self' | 'service' | 'shards'>): void;
  /** Hands the shards over, then ends; a further call waits for the same end. */
  leave(): Promise<void>;
}

/** Makes an empty slot. */
export function createOneShotSlot(options: OneShotSlotOptions): OneShotSlot {
  let oneShot: OneShot | undefined;
  let leaving: Promise<void> | undefined;

  async function handOver(): Promise<void> {
    await oneShot?.leave();
    await oneShot?.stop();
  }

  return {
    run: async (key, execute) => {
      if (oneShot) return oneShot.execute(key, execute);
      const message = 'this daemon holds no keys; calls that may run at most once need a store';
      return Err(createFailure(ResultCode.notHome, message));
    },
    begin: (late) => {
      const { store } = options;
      if (oneShot || leaving || !store) return;
      oneShot = createOneShot({ ...options, ...late, store });
      oneShot.start();
    },
    leave: () => {
      leaving ??= handOver();
      return leaving;
    },
  };
}
