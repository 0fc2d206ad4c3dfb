/** Raised when a write names a lease that has lapsed; nothing was written. */
export class LeaseNotFoundError extends Error {
  constructor(lease: string) {
    super(`the lease ${lease} has lapsed or was never granted; grant a new one`);
  }
}
