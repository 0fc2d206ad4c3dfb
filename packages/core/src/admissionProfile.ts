import type { Objective } from './configuration.js';
import type { ShedLevelPace } from './shedLevel.js';

/** What the operators' objective trades. */
export interface AdmissionProfile {
  /** Size of the waiting room in multiples of the limit, at most. */
  roomPerLimit: number;
  /** Wait that a full waiting room should stand for, in milliseconds. */
  fullRoomMs: number;
  /** Longest wait for a slot, in milliseconds. */
  maxWaitMs: number;
  pace: ShedLevelPace;
}

const profiles: Record<Objective, AdmissionProfile> = {
  goodput: {
    roomPerLimit: 2,
    fullRoomMs: 400,
    maxWaitMs: 1000,
    pace: { maxFall: 64, highShare: 0.5, lowShare: 0.25 },
  },
  recovery: {
    roomPerLimit: 1,
    fullRoomMs: 100,
    maxWaitMs: 250,
    pace: { maxFall: 128, highShare: 0.5, lowShare: 0.25 },
  },
};

/** The profile that belongs to an objective. */
export function profileOf(objective: Objective): AdmissionProfile {
  return profiles[objective];
}
