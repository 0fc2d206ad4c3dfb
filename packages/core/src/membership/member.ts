/** State of a target as observed by its daemon. */
export type TargetState = 'starting' | 'serving' | 'draining' | 'gone';

/** A shard of a service's key space that a daemon claims to be home of. */
export interface ShardClaim {
  shard: number;
  /** Store revision of the shard record; the claim with the highest revision wins. */
  revision: number;
}

/** Record that a daemon publishes about itself and its target. */
export interface Member {
  /** Unique id of one run of the daemon; a restart creates a new one. */
  incarnation: string;
  /** Version of this record; its daemon increments it with each change. */
  version: number;
  host: string;
  dataCentre: string;
  /** Service of the target; empty until a target has announced itself, and for embedded callers. */
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

/** View of the members of the fleet, used to route calls and to locate homes. */
export interface Directory {
  /** Members with a serving target of `service`, in no particular order. */
  targetsOf(service: string): Member[];
  /** All known members in any state. */
  members(): Member[];
  /** The member with this incarnation, if known. */
  memberOf(incarnation: string): Member | undefined;
  /** Calls `listener` after each change; returns a function that removes the listener. */
  onChange(listener: () => void): () => void;
}
