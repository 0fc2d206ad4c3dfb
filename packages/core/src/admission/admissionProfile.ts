import type { Objective } from '../configuration/configuration.js';
import type { ShedLevelTuning } from './shedLevel.js';

/** Queueing and shedding parameters for one objective of the operators. */
export interface AdmissionProfile {
  /** Largest size of the admission queue, in multiples of the concurrency limit. */
  maxQueuePerLimit: number;
  /** Expected wait at the end of a full admission queue, in milliseconds. */
  fullQueueWaitMs: number;
  /** Longest time a call may be queued, in milliseconds. */
  maxWaitMs: number;
  shedLevelTuning: ShedLevelTuning;
}

const profiles: Record<Objective, AdmissionProfile> = {
  goodput: {
    maxQueuePerLimit: 4,
    fullQueueWaitMs: 1200,
    maxWaitMs: 1000,
    shedLevelTuning: {
      initialDecrease: 2,
      maxDecrease: 64,
      decreasePerHeadroom: 8,
      highQueueShare: 0.2,
      lowQueueShare: 0.1,
    },
  },
  recovery: {
    maxQueuePerLimit: 3,
    fullQueueWaitMs: 600,
    maxWaitMs: 500,
    shedLevelTuning: {
      initialDecrease: 8,
      maxDecrease: 128,
      decreasePerHeadroom: 16,
      highQueueShare: 0.2,
      lowQueueShare: 0.1,
    },
  },
};

/** Returns the profile of an objective. */
export function profileOf(objective: Objective): AdmissionProfile {
  return profiles[objective];
}
