import type { OutcomeTableLimits } from './outcomeTable.js';
import type { DeputyChoice } from './deputyChoice.js';
import type { AtMostOnceOptions } from './atMostOnceOptions.js';
import type { AtMostOnceTiming } from './atMostOnceTiming.js';
import type { LocalShards } from './localShards.js';
import type { ShardDeputyFactory } from './shardDeputy.js';
import type { ShardHomeFactory } from './shardHome.js';
import type { Holder, ShardRecords } from './shardRecord.js';
import type { TaskGroup } from '../runtime/taskGroup.js';

/** Options of at-most-once execution with every default filled in. */
export interface ShardManagerOptions extends AtMostOnceOptions {
  timing: AtMostOnceTiming;
  limits: OutcomeTableLimits;
  createHome: ShardHomeFactory;
  createDeputy: ShardDeputyFactory;
}

/** What the parts of one shard keeper share. */
export interface ShardContext {
  options: ShardManagerOptions;
  self: Holder;
  localShards: LocalShards;
  records: ShardRecords;
  choice: DeputyChoice;
  tasks: TaskGroup;
}
