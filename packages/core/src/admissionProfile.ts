import type { Objective } from './configuration.js';
import type { ShedLevelPace } from './shedLevel.js';

/** What the operators' objective trades. */
export interface AdmissionProfile {
  /** Size of the waiting room in multiples of the limit. */
  roomPerLimit: number;
  /** Longest wait for a slot, in milliseconds. */
  maxWaitMs: number;
  /** A call is begun only while its remaining time is this multiple of the expected service time. */
  headroom: number;
  pace: ShedLevelPace;
}

const profiles: Record<Objective, AdmissionProfile> = {
  goodput: {
    roomPerLimit: 2,
    maxWaitMs: 1000,
    headroom: 1.1,
    pace: { maxFall: 32, highShare: 0.5, lowShare: 0.25 },
  },
  recovery: {
    roomPerLimit: 1,
    maxWaitMs: 250,
    headroom: 2,
    pace: { maxFall: 128, highShare: 0.5, lowShare: 0.25 },
  },
};

/** The profile that belongs to an objective. */
export function profileOf(objective: Objective): AdmissionProfile {
  return profiles[objective];
}
