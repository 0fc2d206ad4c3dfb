import type { Importance } from '@shallotcroft/core';

/** One attempt of a caller: a root call. */
export interface RootAttempt {
  /** Unique id of the root call. */
  id: string;
  importance: Importance;
  caller: string;
  patienceMs: number;
}

/** Shape of the chain that is measured. */
export const chainShape = {
  targetsPerService: 2,
  workMs: 40,
  /** Slots of each target, from the first service to the deepest, which is the bottleneck. */
  slots: [18, 12, 4],
} as const;

/** Slots of the deepest service. */
export const deepSlots =
  chainShape.targetsPerService * (chainShape.slots[chainShape.slots.length - 1] as number);

/** A chain of three services with some way of control. */
export abstract class Chain {
  /** True when the whole answer came in time. Never rejects. */
  abstract call(attempt: RootAttempt): Promise<boolean>;

  /** Makes the deepest service this many times slower. */
  abstract slowDown(factor: number): Promise<void>;

  /** Executions begun at all targets, by root call. */
  abstract executions(): Promise<Map<string, number>>;

  /** Ends everything that the chain started. */
  abstract close(): Promise<void>;
}
