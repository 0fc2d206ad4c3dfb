/** Thrown if a write refers to an expired or unknown lease; nothing was written. */
export class LeaseNotFoundError extends Error {
  constructor(lease: string) {
    super(`the lease ${lease} has expired or was never granted; grant a new one`);
  }
}
