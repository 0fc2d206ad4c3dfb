import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Clock } from '../runtime/clock.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import type { PeerCaller } from '../peers/peer.js';
import { AtMostOnceMethod, isAlive } from './homeLease.js';
import { ResultCode } from '../runtime/resultCode.js';
import { ShardRecords } from './shardRecord.js';
import type { DaemonAddress, RecordSwap, ShardState } from './shardRecord.js';
import type { Store } from '../store/store.js';
import { recordWithoutTable } from './takeover.js';

const RESPONSE_TIMEOUT_MS = 2000;
/**
 * Added to the operator's calendar time, whose clock may be behind. Keys minted within this time
 * after the swap get `unknownKeyMayHaveRun`.
 */
const SINCE_MARGIN_MS = 10_000;

/** Options of `reassignShard`. */
export interface Reassignment {
  store: Store;
  peers: PeerCaller;
  clock: Clock;
  service: string;
  shard: number;
  /** The new home. */
  to: DaemonAddress;
  /** Incarnations that have ended, by the word of the operator; must include home and deputy. */
  ended: string[];
}

function rejection(message: string): Result<never, Failure> {
  return Err(createFailure(ResultCode.badRequest, message));
}

function resultOfSwap(swap: RecordSwap): Result<ShardState, Failure> {
  if (swap.outcome === 'swapped') return Ok(swap.state);
  if (swap.outcome === 'conflict') {
    const message = 'the shard record has changed in the meantime; check it and try again';
    return Err(createFailure(ResultCode.applyConflict, message));
  }
  if (swap.outcome === 'notApplied') {
    const message = 'the store does not respond and nothing was changed; try again later';
    return Err(createFailure(ResultCode.storeUnavailable, message));
  }
  const message =
    'the store did not respond; check the shard record, and reassign again if it is unchanged';
  return Err(createFailure(ResultCode.storeOutcomeUnknown, message));
}

/**
 * Makes another daemon home of a shard, with an empty outcome table. Safe only when the home and the
 * deputy have ended: one that is alive but partitioned from all others could still run calls.
 */
export async function reassignShard(options: Reassignment): Promise<Result<ShardState, Failure>> {
  const { store, peers, clock, service, shard, to, ended } = options;
  const records = new ShardRecords(store, service);
  const found = await records.read(shard);
  if (found.isErr()) return found;
  if (!found.value) return rejection(`shard ${shard} has no record; its daemons will claim it`);
  const { record, revision } = found.value;
  const holders = [record.home, ...(record.deputy ? [record.deputy] : [])];
  const missing = holders.find(({ incarnation }) => !ended.includes(incarnation));
  if (missing) return rejection(`make sure that ${missing.incarnation} has ended, then list it`);
  for (const holder of holders) {
    const isDaemonAlive = await isAlive(peers, service, holder, RESPONSE_TIMEOUT_MS);
    if (isDaemonAlive) return rejection(`${holder.incarnation} is still alive`);
  }
  const since = clock.date().getTime() + SINCE_MARGIN_MS;
  const swap = await records.swap(shard, revision, recordWithoutTable(record, to, null, since));
  await peers.call(
    { address: to.address, port: to.peerPort },
    AtMostOnceMethod.changed,
    { shard, revision },
    RESPONSE_TIMEOUT_MS,
  );
  return resultOfSwap(swap);
}
