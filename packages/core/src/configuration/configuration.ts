/** How much a call matters, from most to least. Shedding starts at the end of the list. */
export const importances = ['critical', 'high', 'normal', 'low'] as const;

/** How much a call matters; the root call's importance is carried down the chain. */
export type Importance = (typeof importances)[number];

/** Whether a call may be run more than once. */
export type Execution = 'repeatable' | 'atMostOnce';

/** What weighs more under overload: answers served, or a quick return to normal. */
export type Objective = 'goodput' | 'recovery';

/** How the concurrency limit of a service's targets is found. */
export type LimitKind = 'none' | 'fixed' | 'adaptive';

/** Resolved policy of one call. */
export interface CallPolicy {
  /** Name of the call, `service.call`. */
  name: string;
  service: string;
  importance: Importance;
  execution: Execution;
  /** Whether all attempts of a call share a key; always so when it may run at most once. */
  keyed?: boolean;
  /** How long the root caller waits, in milliseconds. */
  deadlineMs: number;
  /** Further attempts allowed end to end when this call is the root. */
  attemptTokens: number;
  /** Largest answer, in bytes. */
  maxAnswerBytes: number;
  /** Largest request body, in bytes. */
  maxBodyBytes: number;
  /** Names of the calls that this call makes. */
  children: string[];
}

/** Resolved policy of one service. */
export interface ServicePolicy {
  name: string;
  /** Calls that one target works on at once, as the operators believe. */
  slots: number;
  /** Connections that one target accepts. */
  connections: number;
  limit: LimitKind;
  /** Number of shards of the key space of its at-most-once calls. */
  shards: number;
}

/** Resolved configuration, generated from the operators' answers. */
export interface Configuration {
  /** 0 until accepted by the store; then counts up by one. */
  revision: number;
  /** Unique id of the change that made this revision. */
  changeId: string;
  objective: Objective;
  services: Record<string, ServicePolicy>;
  calls: Record<string, CallPolicy>;
}
