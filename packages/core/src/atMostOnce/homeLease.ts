import * as z from 'zod';
import type { PeerCaller } from '../peers/peer.js';
import type { Holder } from './shardRecord.js';

/** Control methods of the at-most-once protocol, between the daemons of one service. */
export const AtMostOnceMethod = {
  /** Params `PledgeRequest`, answers `PledgeAnswer`. */
  pledge: 'oneShot.pledge',
  /** Params `StagedTable`, answers true when the rows were taken in. */
  stage: 'oneShot.stage',
  /** Params `{ shard }`: the record of the shard has changed; answers true. */
  changed: 'oneShot.changed',
} as const;

/** A shard and the revision of its record. */
export const shardRevisionSchema = z.object({ shard: z.number(), revision: z.number() });

/** A shard and the revision of its record. */
export type ShardRevision = z.infer<typeof shardRevisionSchema>;

/** Asks for pledges for all shards that one daemon is home and another is deputy of. */
export const homeLeaseRequestSchema = z.object({
  service: z.string(),
  home: z.string(),
  deputy: z.string(),
  shardCount: z.number(),
  shards: z.array(shardRevisionSchema),
});

/** Asks for pledges for all shards that one daemon is home and another is deputy of. */
export type HomeLeaseRequest = z.infer<typeof homeLeaseRequestSchema>;

/** The shards for which the pledge is given; `deputy` is the incarnation that gives it. */
export interface HomeLeaseResponse {
  deputy: string;
  granted: ShardRevision[];
}

/** True when this very run of the daemon answers within `timeoutMs` milliseconds. */
export async function isAlive(
  peers: PeerCaller,
  service: string,
  holder: Holder,
  timeoutMs: number,
): Promise<boolean> {
  const answer = await peers.call<HomeLeaseResponse>(
    { address: holder.address, port: holder.peerPort },
    AtMostOnceMethod.pledge,
    { service, home: '', deputy: holder.incarnation, shardCount: 0, shards: [] },
    timeoutMs,
  );
  return answer.isOk() && answer.value.deputy === holder.incarnation;
}
