import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Clock } from '../runtime/clock.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import type { PeerCaller } from '../peers/peer.js';
import { AtMostOnceMethod, isAlive } from './homeLease.js';
import { ResultCode } from '../runtime/resultCode.js';
import { ShardRecords } from './shardRecord.js';
import type { Holder, RecordSwap, ShardState } from './shardRecord.js';
import type { Store } from '../store/store.js';
import { recordWithoutTable } from './takeover.js';

const ASK_TIMEOUT_MS = 2000;
/** Covers an operator's clock that is behind; keys minted within it after the swap stay unknown. */
const SINCE_MARGIN_MS = 10_000;

/** What an operator decides about a shard whose home and deputy are both gone. */
export interface Reassignment {
  store: Store;
  peers: PeerCaller;
  clock: Clock;
  service: string;
  shard: number;
  /** The daemon that shall be home. */
  to: Holder;
  /** Incarnations that the operator knows to have ended; home and deputy must be among them. */
  ended: string[];
}

function refusal(message: string): Result<never, Failure> {
  return Err(createFailure(ResultCode.badRequest, message));
}

function resultOfSwap(swap: RecordSwap): Result<ShardState, Failure> {
  if (swap.outcome === 'swapped') return Ok(swap.state);
  if (swap.outcome === 'moved') {
    const message = 'the record has changed meanwhile; look at it again';
    return Err(createFailure(ResultCode.applyConflict, message));
  }
  if (swap.outcome === 'untouched') {
    const message = 'the store does not answer and nothing was done; try again later';
    return Err(createFailure(ResultCode.storeUnavailable, message));
  }
  const message =
    'the store did not answer; look at the record, and reassign again if it is the same';
  return Err(createFailure(ResultCode.storeOutcomeUnknown, message));
}

/**
 * Gives a shard to another daemon, with an empty table. Safe only when the home and the deputy have
 * ended: one that goes on cut off from everything else would go on running calls.
 */
export async function reassignShard(options: Reassignment): Promise<Result<ShardState, Failure>> {
  const { store, peers, clock, service, shard, to, ended } = options;
  const records = new ShardRecords(store, service);
  const found = await records.read(shard);
  if (found.isErr()) return found;
  if (!found.value) return refusal(`shard ${shard} has no record; its daemons claim it themselves`);
  const { record, revision } = found.value;
  const holders = [record.home, ...(record.deputy ? [record.deputy] : [])];
  const unnamed = holders.find(({ incarnation }) => !ended.includes(incarnation));
  if (unnamed) return refusal(`make sure that ${unnamed.incarnation} has ended, and say so`);
  for (const holder of holders) {
    const alive = await isAlive(peers, service, holder, ASK_TIMEOUT_MS);
    if (alive) return refusal(`${holder.incarnation} is alive`);
  }
  const since = clock.date().getTime() + SINCE_MARGIN_MS;
  const swap = await records.swap(shard, revision, recordWithoutTable(record, to, null, since));
  await peers.call(
    { address: to.address, port: to.peerPort },
    AtMostOnceMethod.changed,
    { shard, revision },
    ASK_TIMEOUT_MS,
  );
  return resultOfSwap(swap);
}
