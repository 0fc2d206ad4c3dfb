import { Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import * as z from 'zod';
import type { Failure } from '../runtime/failure.js';
import type { Member } from '../membership/member.js';
import { ResultCode } from '../runtime/resultCode.js';
import type { Store, StoreEntry } from '../store/store.js';

const holderSchema = z.object({
  incarnation: z.string(),
  address: z.string(),
  peerPort: z.number(),
});

const shardRecordSchema = z.object({
  shards: z.number(),
  home: holderSchema,
  deputy: holderSchema.nullable(),
  since: z.number(),
  handover: z.string().nullable(),
});

/** One run of a daemon, and where it listens for control messages. */
export type Holder = z.infer<typeof holderSchema>;

/**
 * Who keeps a shard.
 * `shards`: into how many shards the key space was split when the record was made.
 * `deputy`: the one daemon that may take over; null when nobody may.
 * `since`: calendar time in milliseconds; keys minted before it, and shortly after, may have been
 * run by a home whose table is lost.
 * `handover`: id of the table that the home was given, null when it was given none.
 */
export type ShardRecord = z.infer<typeof shardRecordSchema>;

/** A record and its revision in the store. */
export interface ShardState {
  shard: number;
  revision: number;
  record: ShardRecord;
}

/** How a swap ended: `untouched` when nothing was done, `unknown` when it may take effect, even later. */
export type RecordSwap =
  | { outcome: 'swapped'; state: ShardState }
  | { outcome: 'moved'; state: ShardState | undefined }
  | { outcome: 'untouched' }
  | { outcome: 'unknown' };

/** The holder that a member is. */
export function holderOf(member: Member): Holder {
  const { incarnation, address, peerPort } = member;
  return { incarnation, address, peerPort };
}

/** The shard records of one service in the store. */
export class ShardRecords {
  private readonly prefix: string;

  constructor(
    private readonly store: Store,
    service: string,
  ) {
    this.prefix = `shallotcroft/shards/${service}/`;
  }

  /** The record of a shard, or undefined when it has none. */
  async read(shard: number): Promise<Result<ShardState | undefined, Failure>> {
    const entry = await this.store.get(this.prefix + shard);
    return entry.map((found) => this.stateOf(found));
  }

  /** All records of the service. */
  async list(): Promise<Result<ShardState[], Failure>> {
    const entries = await this.store.list(this.prefix);
    if (entries.isErr()) return entries;
    const states = entries.value.map((entry) => this.stateOf(entry));
    return Ok(states.filter((state) => state !== undefined));
  }

  /** Changes a record if its revision is still `expected` (0: no record). */
  async swap(shard: number, expected: number, record: ShardRecord): Promise<RecordSwap> {
    const answer = await this.store.swap(this.prefix + shard, expected, JSON.stringify(record));
    if (answer.isErr()) {
      const untouched = answer.error.code === ResultCode.storeUnavailable;
      return { outcome: untouched ? 'untouched' : 'unknown' };
    }
    const state = this.stateOf(answer.value.current);
    if (answer.value.swapped && state) return { outcome: 'swapped', state };
    return { outcome: 'moved', state };
  }

  private stateOf(entry: StoreEntry | undefined): ShardState | undefined {
    if (!entry) return undefined;
    const record = shardRecordSchema.parse(JSON.parse(entry.value));
    const shard = Number(entry.key.slice(this.prefix.length));
    return { shard, revision: entry.modRevision, record };
  }
}
