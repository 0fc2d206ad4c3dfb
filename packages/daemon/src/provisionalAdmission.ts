import { Ok } from '@shallotcroft/core';
import type { Admission } from '@shallotcroft/core';

/** Admission that lets everything in, until the real one lands. */
export function createOpenAdmission(): Admission {
  let inFlight = 0;
  return {
    enter: async () => {
      inFlight += 1;
      return Ok({
        waitedMs: 0,
        release: () => {
          inFlight -= 1;
        },
      });
    },
    shedLevel: () => 0,
    load: () => ({ inFlight, waiting: 0, limit: 0 }),
    reconfigure: () => undefined,
    close: () => undefined,
  };
}
