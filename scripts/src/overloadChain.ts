import type { Importance } from '@shallotcroft/core';

/** One attempt of a caller, made as a root call. */
export interface RootAttempt {
  /** Unique id of the root call. */
  id: string;
  importance: Importance;
  caller: string;
  /** How long the caller waits for the response. */
  patienceMs: number;
}

/** Targets, service time and slots of the measured chain. */
export const chainShape = {
  targetsPerService: 2,
  workMs: 40,
  /** Slots of each target, from the first service to the deepest, which is the bottleneck. */
  slots: [18, 12, 4],
} as const;

/** Slots of all targets of the deepest service. */
export const deepestServiceSlots =
  chainShape.targetsPerService * (chainShape.slots[chainShape.slots.length - 1] as number);

/** A chain of three services, with or without overload control. */
export abstract class Chain {
  /** Resolves to true when the complete response arrives in time; never rejects. */
  abstract call(attempt: RootAttempt): Promise<boolean>;

  /** Multiplies the service time of the deepest service by `factor`; 1 is normal. */
  abstract setSlowdown(factor: number): Promise<void>;

  /** Returns the number of executions begun at all targets, by root call. */
  abstract executions(): Promise<Map<string, number>>;

  /** Stops all targets and daemons and releases their resources. */
  abstract close(): Promise<void>;
}
