/** State of a target as its daemon sees it. */
export type TargetState = 'starting' | 'serving' | 'draining' | 'gone';

/** A shard of a service's key space that a daemon claims to be home of. */
export interface ShardClaim {
  shard: number;
  /** Store revision of the shard record; the highest claim counts. */
  revision: number;
}

/** What one daemon tells the others about itself and its target. */
export interface Member {
  /** Unique id of this run of the daemon. A restarted daemon has another. */
  incarnation: string;
  /** Version of this record; the owner raises it with each change. */
  version: number;
  host: string;
  dataCentre: string;
  /** Service of the target; empty until a target has announced itself. */
  service: string;
  state: TargetState;
  /** IP address of the daemon. */
  address: string;
  /** Port for calls from other daemons and embedded callers. */
  callPort: number;
  /** Port for control messages between daemons. */
  peerPort: number;
  /** Shards of its service whose home this daemon is. */
  homes: ShardClaim[];
}

/** Who is there: the view that routing and homes are built on. */
export interface Directory {
  /** Members with a target of `service` that may be given work, in no special order. */
  targetsOf(service: string): Member[];
  /** Every member known, whatever its state. */
  members(): Member[];
  /** The member with this incarnation, if known. */
  memberOf(incarnation: string): Member | undefined;
  /** Calls `listener` after each change; returns a function that stops it. */
  onChange(listener: () => void): () => void;
}
