import type { Clock, Logger } from '@shallotcroft/core';

/** Time for which a port that is in use is tried again, in milliseconds. */
const PORT_TIMEOUT_MS = 10_000;
const RETRY_INTERVAL_MS = 100;

/** Options of `listenWhenFree`. */
export interface ListenOptions {
  clock: Clock;
  logger: Logger;
  /** Port, for the log. */
  port: number;
}

function isInUse(error: unknown): boolean {
  return (error as NodeJS.ErrnoException).code === 'EADDRINUSE';
}

/**
 * Starts a listener. While its port is in use, as by the former process of a daemon that is still
 * ending, it is tried again; rejects with the error when the port does not become free in time.
 */
export async function listenWhenFree<T>(
  { clock, logger, port }: ListenOptions,
  listen: () => Promise<T>,
): Promise<T> {
  const endsAt = clock.now() + PORT_TIMEOUT_MS;
  let isFirst = true;
  for (;;) {
    try {
      return await listen();
    } catch (error) {
      if (!isInUse(error) || clock.now() >= endsAt) throw error;
      if (isFirst) logger.log('warn', 'port in use, trying again', { port });
      isFirst = false;
      await clock.sleep(RETRY_INTERVAL_MS);
    }
  }
}
