import type { RandomSource } from '../runtime/random.js';

/** Bounds of the time for which a watch request may wait for changes, in milliseconds. */
const MIN_WATCH_WAIT_MS = 2500;
const MAX_WATCH_WAIT_MS = 25_000;
/** Watch requests of the whole fleet that may end without a change, per second. */
const FLEET_IDLE_WATCHES_PER_S = 8;
/** Share of a wait by which it varies, so that the daemons of a fleet do not poll together. */
const JITTER = 0.2;

/** Bounds of the interval at which changes that are not urgent are read, in milliseconds. */
const MIN_POLL_INTERVAL_MS = 500;
const MAX_POLL_INTERVAL_MS = 5000;
/** Reads of changes that are not urgent by the whole fleet, per second. */
const FLEET_POLLS_PER_S = 30;

/** Bounds of the wait before the next request after a failed one, in milliseconds. */
const MIN_RETRY_WAIT_MS = 100;
const MIN_RETRY_CAP_MS = 500;
const MAX_RETRY_CAP_MS = 1200;
/** Requests of the whole fleet to a store that fails, per second. */
const FLEET_RETRIES_PER_S = 150;

const MS_PER_S = 1000;

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}

/**
 * Paces the requests of a daemon to the store by the size of the fleet: the requests of all daemons
 * together are bounded, so that their number does not grow with the fleet.
 */
export class StorePacing {
  private fleetSize = 1;

  constructor(private readonly random: RandomSource) {}

  /** Sets the number of daemons that use the store. */
  setFleetSize(daemons: number): void {
    this.fleetSize = daemons;
  }

  /** Time for which the next watch request may wait for a change, in milliseconds. */
  watchWaitMs(): number {
    const waitMs = clamp(
      this.intervalMs(FLEET_IDLE_WATCHES_PER_S),
      MIN_WATCH_WAIT_MS,
      MAX_WATCH_WAIT_MS,
    );
    return Math.round(waitMs * (1 - JITTER * this.random.next()));
  }

  /** Interval at which changes that are not urgent are read, in milliseconds. */
  pollIntervalMs(): number {
    const intervalMs = clamp(
      this.intervalMs(FLEET_POLLS_PER_S),
      MIN_POLL_INTERVAL_MS,
      MAX_POLL_INTERVAL_MS,
    );
    return intervalMs * (1 - JITTER * this.random.next());
  }

  /** Random wait after `failures` failed requests in a row, in milliseconds. */
  retryWaitMs(failures: number): number {
    const cap = clamp(this.intervalMs(FLEET_RETRIES_PER_S), MIN_RETRY_CAP_MS, MAX_RETRY_CAP_MS);
    const highest = Math.min(cap, MIN_RETRY_WAIT_MS * 2 ** failures);
    return MIN_RETRY_WAIT_MS + this.random.next() * (highest - MIN_RETRY_WAIT_MS);
  }

  /** Interval of one daemon when all daemons together make `fleetRate` requests per second. */
  private intervalMs(fleetRate: number): number {
    return (this.fleetSize * MS_PER_S) / fleetRate;
  }
}
