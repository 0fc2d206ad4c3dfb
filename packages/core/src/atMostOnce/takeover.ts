import type { Clock } from '../runtime/clock.js';
import type { ShardDeputy, TakeoverResult } from './shardDeputy.js';
import type {
  DaemonAddress,
  RecordSwap,
  ShardRecord,
  ShardRecords,
  ShardState,
} from './shardRecord.js';

/** Options of `takeOver`. */
export interface TakeoverOptions {
  deputy: ShardDeputy;
  records: ShardRecords;
  self: DaemonAddress;
  clock: Clock;
  /** Chooses the deputy of the new home; null without a candidate. */
  chooseDeputy: (record: ShardRecord) => DaemonAddress | null;
}

const takeoverResults: Record<RecordSwap['outcome'], TakeoverResult> = {
  swapped: 'decided',
  conflict: 'decided',
  notApplied: 'notApplied',
  unknown: 'unknown',
};

/** A copy of `record` that makes `home` the home with an empty outcome table. */
export function recordWithoutTable(
  record: ShardRecord,
  home: DaemonAddress,
  deputy: DaemonAddress | null,
  calendarMs: number,
): ShardRecord {
  // `since` always increases, so that records with different tables have different values.
  return { ...record, home, deputy, since: Math.max(record.since + 1, calendarMs), handover: null };
}

/**
 * Takes over a shard if the record names this daemon as deputy and every granted lease has expired.
 * Returns the newest record read, if any.
 */
export async function takeOver(options: TakeoverOptions): Promise<ShardState | undefined> {
  const { deputy, records, self, clock } = options;
  const found = await records.read(deputy.shard);
  if (found.isErr() || !found.value) return undefined;
  const { revision, record } = found.value;
  if (record.deputy?.incarnation !== self.incarnation) return found.value;
  // A lease may have been granted during the read. None can be granted from here to the swap, since
  // there is no await in between.
  if (!deputy.canTakeOver()) return found.value;
  const next = recordWithoutTable(
    record,
    self,
    options.chooseDeputy(record),
    clock.date().getTime(),
  );
  deputy.recordTakeoverSent(revision);
  const swap = await records.swap(deputy.shard, revision, next);
  deputy.recordTakeoverResult(takeoverResults[swap.outcome]);
  return 'state' in swap ? swap.state : undefined;
}
