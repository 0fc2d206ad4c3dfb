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

/** State of a shard that this daemon is home of, as shown by `status`. */
export interface ShardStatus {
  shard: number;
  revision: number;
  /** False while the home rejects new calls: its home lease has expired or a swap is pending. */
  serving: boolean;
  /** Incarnation of the deputy. */
  deputy: string | undefined;
  /** Keys in the outcome table. */
  keys: number;
}

/** Executes at-most-once calls whose keys belong to shards that this daemon is home of. */
export interface AtMostOnceExecutor {
  /**
   * Returns the outcome of `key` (valid, lower case) and runs `execute` if the key has not begun.
   * An attempt with a key that is running or finished gets the same outcome. The promise never
   * rejects. Results:
   * `notRun…`, `badKeyFromFuture`: the key has not run anywhere;
   * `unknown…`, `badKeyExpired`: the key may have run;
   * `notHome`: this attempt began nothing; send the same key to the home (`createHomeLocator`).
   */
  execute(key: string, execute: Execute): Promise<CallOutcome>;
  /** Shards that this daemon is home of. */
  status(): ShardStatus[];
  /** Starts the periodic tasks: reads shard records, claims shards without one, renews leases. */
  start(): void;
  /** Hands every shard and its outcome table over to another daemon. Call before `stop`. */
  leave(): Promise<void>;
  /** Rejects new calls and requests of peers, and ends all tasks. */
  stop(): Promise<void>;
}

/**
 * Replaces `notHome` by the failure that a caller gets; other failures stay the same.
 * `isKeyExclusive`: this process minted the key for this call, and every attempt with the key ended
 * with `notHome` or `notRun…`, so the key has not run.
 */
export function callerFailureOf(failure: Failure, isKeyExclusive: boolean): Failure {
  if (failure.code !== ResultCode.notHome) return failure;
  const code = isKeyExclusive ? ResultCode.notRunHomeUnavailable : ResultCode.unknownKeyMayHaveRun;
  return createFailure(code, failure.message);
}

/** Creates the executor of at-most-once calls for one daemon. */
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
