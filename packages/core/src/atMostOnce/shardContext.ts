import type { OutcomeTableLimits } from './outcomeTable.js';
import type { ShardPlacement } from './shardPlacement.js';
import type { AtMostOnceOptions } from './atMostOnceOptions.js';
import type { AtMostOnceTiming } from './atMostOnceTiming.js';
import type { LocalShards } from './localShards.js';
import type { ShardDeputyFactory } from './shardDeputy.js';
import type { ShardHomeFactory } from './shardHome.js';
import type { DaemonAddress, ShardRecords } from './shardRecord.js';
import type { TaskGroup } from '../runtime/taskGroup.js';

/** Options of at-most-once execution with every default filled in. */
export interface ShardManagerOptions extends AtMostOnceOptions {
  timing: AtMostOnceTiming;
  limits: OutcomeTableLimits;
  createHome: ShardHomeFactory;
  createDeputy: ShardDeputyFactory;
}

/** Dependencies shared by the components of one `ShardManager`. */
export interface ShardContext {
  options: ShardManagerOptions;
  self: DaemonAddress;
  localShards: LocalShards;
  records: ShardRecords;
  placement: ShardPlacement;
  tasks: TaskGroup;
}
