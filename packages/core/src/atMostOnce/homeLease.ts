import * as z from 'zod';
import type { PeerCaller } from '../peers/peer.js';
import type { DaemonAddress } from './shardRecord.js';

/** Control methods of the at-most-once protocol, between the daemons of one service. */
export const AtMostOnceMethod = {
  /** Params `HomeLeaseRequest`, returns `HomeLeaseResponse`. */
  pledge: 'oneShot.pledge',
  /** Params `StagedTable`, returns true when the rows were stored. */
  stage: 'oneShot.stage',
  /** Params `ShardRevision`: the record of the shard has changed. Returns true. */
  changed: 'oneShot.changed',
} as const;

/** Schema of `ShardRevision`. */
export const shardRevisionSchema = z.object({ shard: z.number(), revision: z.number() });

/** A shard and the revision of its record. */
export type ShardRevision = z.infer<typeof shardRevisionSchema>;

/** Schema of `HomeLeaseRequest`. */
export const homeLeaseRequestSchema = z.object({
  service: z.string(),
  home: z.string(),
  deputy: z.string(),
  shardCount: z.number(),
  shards: z.array(shardRevisionSchema),
});

/** Requests home leases for all shards that `home` and `deputy` have in common. */
export type HomeLeaseRequest = z.infer<typeof homeLeaseRequestSchema>;

/** The shards for which a home lease is granted, and the incarnation of the responding daemon. */
export interface HomeLeaseResponse {
  deputy: string;
  granted: ShardRevision[];
}

/**
 * True when this incarnation of the daemon responds within `timeoutMs` milliseconds. A request
 * without shards asks for no lease; a response from another incarnation does not count.
 */
export async function isAlive(
  peers: PeerCaller,
  service: string,
  daemon: DaemonAddress,
  timeoutMs: number,
): Promise<boolean> {
  const response = await peers.call<HomeLeaseResponse>(
    { address: daemon.address, port: daemon.peerPort },
    AtMostOnceMethod.pledge,
    { service, home: '', deputy: daemon.incarnation, shardCount: 0, shards: [] },
    timeoutMs,
  );
  return response.isOk() && response.value.deputy === daemon.incarnation;
}
