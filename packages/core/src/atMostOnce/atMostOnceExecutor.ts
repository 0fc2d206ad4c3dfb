import { Err } from 'ts-results-es';
import { defaultOutcomeTableLimits } from './outcomeTable.js';
import type { CallOutcome } from './outcomeTable.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { shardOf } from '../calls/idempotencyKey.js';
import { defaultAtMostOnceTiming } from './atMostOnceTiming.js';
import type { AtMostOnceOptions } from './atMostOnceOptions.js';
import { ResultCode } from '../runtime/resultCode.js';
import { createShardDeputy } from './shardDeputy.js';
import { createShardHome } from './shardHome.js';
import type { Execute } from './shardHome.js';
import { ShardManager } from './shardManager.js';

/** State of one shard at this daemon, for `status`. */
export interface ShardStatus {
  shard: number;
  revision: number;
  /** False when calls are refused now. */
  serving: boolean;
  deputy: string | undefined;
  keys: number;
}

/** Runs calls that must not run twice, at the home of their key. */
export interface AtMostOnceExecutor {
  /**
   * The outcome of `key` (valid, lower case), running it through `execute` if it was never begun;
   * a further attempt joins the one that runs, or gets the kept outcome. Never rejects.
   * Fails with `notRun…`, `badKeyFromFuture`: the key has not run anywhere;
   * `unknown…`, `badKeyExpired`: it may have run;
   * `notHome`: nothing was begun by this attempt, ask the home (`createHomeLocator`) with the same key.
   */
  execute(key: string, execute: Execute): Promise<CallOutcome>;
  /** Shards that this daemon is home of. */
  status(): ShardStatus[];
  /** Reads the records, claims shards without one, and goes on until stopped. */
  start(): void;
  /** Planned leave: hands every shard with its table to another daemon. Call before `stop`. */
  leave(): Promise<void>;
  /** Begins nothing more, answers no peer, and ends all tasks. */
  stop(): Promise<void>;
}

/**
 * What a caller is told in place of `notHome`. `soleAttempt`: the key was minted for this call by
 * the one who asks, and every attempt made with it was answered with `notHome` or `notRun…`.
 */
export function settleNotHome(failure: Failure, soleAttempt: boolean): Failure {
  if (failure.code !== ResultCode.notHome) return failure;
  const code = soleAttempt ? ResultCode.notRunHomeUnavailable : ResultCode.unknownKeyMayHaveRun;
  return createFailure(code, failure.message);
}

/** Makes the part of a daemon that runs non-repeatable calls at most once. */
export function createAtMostOnceExecutor(options: AtMostOnceOptions): AtMostOnceExecutor {
  const manager = new ShardManager({
    ...options,
    timing: { ...defaultAtMostOnceTiming, ...options.timing },
    limits: options.limits ?? defaultOutcomeTableLimits,
    createHome: options.createHome ?? createShardHome,
    createDeputy: options.createDeputy ?? createShardDeputy,
  });
  return {
    execute: async (key, execute) => {
      const home = manager.localShards.homes.get(shardOf(key, options.shards));
      if (home) return home.execute(key, execute);
      const message = 'this daemon is not home of the key; try the key again';
      return Err(createFailure(ResultCode.notHome, message));
    },
    status: () =>
      [...manager.localShards.homes.values()].map((home) => ({
        shard: home.state.shard,
        revision: home.state.revision,
        serving: home.isServing(),
        deputy: home.state.record.deputy?.incarnation,
        keys: home.table.size,
      })),
    start: () => manager.start(),
    leave: () => manager.leave(),
    stop: () => manager.stop(),
  };
}
