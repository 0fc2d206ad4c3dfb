import type { Objective } from '../configuration/configuration.js';
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
    roomPerLimit: 4,
    fullRoomMs: 1200,
    maxWaitMs: 1000,
    pace: { firstFall: 2, maxFall: 64, fallPerRoom: 8, highShare: 0.2, lowShare: 0.1 },
  },
  recovery: {
    roomPerLimit: 3,
    fullRoomMs: 600,
    maxWaitMs: 500,
    pace: { firstFall: 8, maxFall: 128, fallPerRoom: 16, highShare: 0.2, lowShare: 0.1 },
  },
};

/** The profile that belongs to an objective. */
export function profileOf(objective: Objective): AdmissionProfile {
  return profiles[objective];
}
