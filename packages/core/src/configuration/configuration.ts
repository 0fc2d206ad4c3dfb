/** Importances of calls, highest first. Shedding starts at the end of the list. */
export const importances = ['critical', 'high', 'normal', 'low'] as const;

/** Importance of a call; the root's importance applies to its whole call tree. */
export type Importance = (typeof importances)[number];

/** Whether a call may be run more than once. */
export type Execution = 'repeatable' | 'atMostOnce';

/** Objective under overload: most successful responses, or fastest recovery. */
export type Objective = 'goodput' | 'recovery';

/** How the concurrency limit of a service's targets is determined. */
export type LimitKind = 'none' | 'fixed' | 'adaptive';

/** Resolved policy of one call. */
export interface CallPolicy {
  /** Name of the call, `service.call`. */
  name: string;
  service: string;
  importance: Importance;
  execution: Execution;
  /** Whether all attempts of a call share a key; always true if it may run at most once. */
  keyed?: boolean;
  /** How long the root caller waits, in milliseconds. */
  deadlineMs: number;
  /** Retries allowed in the whole call tree when this call is the root. */
  attemptTokens: number;
  /** Largest response body, in bytes. */
  maxAnswerBytes: number;
  /** Largest request body, in bytes. */
  maxBodyBytes: number;
  /** Names of the child calls. */
  children: string[];
}

/** Resolved policy of one service. */
export interface ServicePolicy {
  name: string;
  /** Calls that one target runs concurrently, as estimated by the operators. */
  slots: number;
  /** Connections that one target accepts. */
  connections: number;
  limit: LimitKind;
  /** Number of shards of the key space of its at-most-once calls. */
  shards: number;
}

/** Resolved configuration, generated from the operators' answers. */
export interface Configuration {
  /** 0 until accepted by the store; each accepted change increments it by one. */
  revision: number;
  /** Unique id of the change that created this revision. */
  changeId: string;
  objective: Objective;
  services: Record<string, ServicePolicy>;
  calls: Record<string, CallPolicy>;
}
