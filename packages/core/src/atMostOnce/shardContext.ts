import type { AnswerTableLimits } from './answerTable.js';
import type { DeputyChoice } from './deputyChoice.js';
import type { OneShotOptions } from './oneShotOptions.js';
import type { OneShotTiming } from './oneShotTiming.js';
import type { ShardBook } from './shardBook.js';
import type { ShardDeputyFactory } from './shardDeputy.js';
import type { ShardHomeFactory } from './shardHome.js';
import type { Holder, ShardRecords } from './shardRecord.js';
import type { TaskGroup } from '../runtime/taskGroup.js';

/** Options of at-most-once execution with every default filled in. */
export interface ShardKeeperOptions extends OneShotOptions {
  timing: OneShotTiming;
  limits: AnswerTableLimits;
  createHome: ShardHomeFactory;
  createDeputy: ShardDeputyFactory;
}

/** What the parts of one shard keeper share. */
export interface ShardContext {
  options: ShardKeeperOptions;
  self: Holder;
  book: ShardBook;
  records: ShardRecords;
  choice: DeputyChoice;
  tasks: TaskGroup;
}
