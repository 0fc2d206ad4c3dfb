import type { Clock } from '../runtime/clock.js';
import type { ShardDeputy, TakeoverEnd } from './shardDeputy.js';
import type { Holder, RecordSwap, ShardRecord, ShardRecords, ShardState } from './shardRecord.js';

/** What a takeover needs. */
export interface TakeoverOptions {
  deputy: ShardDeputy;
  records: ShardRecords;
  self: Holder;
  clock: Clock;
  /** Who shall be deputy next to the new home; null when there is nobody. */
  chooseDeputy: (record: ShardRecord) => Holder | null;
}

const endOfSwap: Record<RecordSwap['outcome'], TakeoverEnd> = {
  swapped: 'settled',
  moved: 'settled',
  untouched: 'untouched',
  unknown: 'unknown',
};

/** The record that makes `home` the home with an empty table. */
export function recordWithoutTable(
  record: ShardRecord,
  home: Holder,
  deputy: Holder | null,
  calendarMs: number,
): ShardRecord {
  // `since` always grows, so that it tells tables apart.
  return { ...record, home, deputy, since: Math.max(record.since + 1, calendarMs), handover: null };
}

/**
 * Takes a shard over if this daemon is the named deputy and every promise has lapsed.
 * Returns the newest record seen, if any.
 */
export async function takeOver(options: TakeoverOptions): Promise<ShardState | undefined> {
  const { deputy, records, self, clock } = options;
  const found = await records.read(deputy.shard);
  if (found.isErr() || !found.value) return undefined;
  const { revision, record } = found.value;
  if (record.deputy?.incarnation !== self.incarnation) return found.value;
  // A promise may have been given while the store was read; from here to the swap nothing can.
  if (!deputy.mayTakeOver()) return found.value;
  const next = recordWithoutTable(
    record,
    self,
    options.chooseDeputy(record),
    clock.date().getTime(),
  );
  deputy.takeoverSent(revision);
  const swap = await records.swap(deputy.shard, revision, next);
  deputy.takeoverEnded(endOfSwap[swap.outcome]);
  return 'state' in swap ? swap.state : undefined;
}
