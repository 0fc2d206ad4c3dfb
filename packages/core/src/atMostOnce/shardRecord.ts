import { Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import * as z from 'zod';
import type { Failure } from '../runtime/failure.js';
import type { Member } from '../membership/member.js';
import { ResultCode } from '../runtime/resultCode.js';
import type { Store, StoreEntry } from '../store/store.js';

const daemonAddressSchema = z.object({
  incarnation: z.string(),
  address: z.string(),
  peerPort: z.number(),
});

const shardRecordSchema = z.object({
  shards: z.number(),
  home: daemonAddressSchema,
  deputy: daemonAddressSchema.nullable(),
  since: z.number(),
  handover: z.string().nullable(),
});

/** An incarnation of a daemon with its address and port for control messages. */
export type DaemonAddress = z.infer<typeof daemonAddressSchema>;

/**
 * Record of a shard in the store.
 * `shards`: number of shards of the key space when the record was created.
 * `home`: the daemon that runs calls with keys of the shard.
 * `deputy`: the only daemon that may take over; null when none may.
 * `since`: calendar time in milliseconds; keys minted before it, or up to twice `maxClockSkewMs`
 * after it, may have been run by a home whose outcome table is lost.
 * `handover`: id of the handover that gave the home its table; null when the home started with an
 * empty table.
 */
export type ShardRecord = z.infer<typeof shardRecordSchema>;

/** A record and its revision in the store. */
export interface ShardState {
  shard: number;
  revision: number;
  record: ShardRecord;
}

/**
 * Result of a swap: `conflict` when the record has another revision, `notApplied` when the store did
 * not process the swap, `unknown` when it may have taken effect or may do so later.
 */
export type RecordSwap =
  | { outcome: 'swapped'; state: ShardState }
  | { outcome: 'conflict'; state: ShardState | undefined }
  | { outcome: 'notApplied' }
  | { outcome: 'unknown' };

/** The address of a member. */
export function daemonAddressOf(member: Member): DaemonAddress {
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

  /** Replaces a record if its revision is still `expected` (0: no record). */
  async swap(shard: number, expected: number, record: ShardRecord): Promise<RecordSwap> {
    const response = await this.store.swap(this.prefix + shard, expected, JSON.stringify(record));
    if (response.isErr()) {
      const isNotApplied = response.error.code === ResultCode.storeUnavailable;
      return { outcome: isNotApplied ? 'notApplied' : 'unknown' };
    }
    const state = this.stateOf(response.value.current);
    if (response.value.swapped && state) return { outcome: 'swapped', state };
    return { outcome: 'conflict', state };
  }

  private stateOf(entry: StoreEntry | undefined): ShardState | undefined {
    if (!entry) return undefined;
    const record = shardRecordSchema.parse(JSON.parse(entry.value));
    const shard = Number(entry.key.slice(this.prefix.length));
    return { shard, revision: entry.modRevision, record };
  }
}
