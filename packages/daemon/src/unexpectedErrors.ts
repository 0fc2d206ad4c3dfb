import type { Logger } from '@shallotcroft/core';

/**
 * Logs errors that nothing has handled, and keeps the process running: an error that one message or
 * connection has caused must not end the requests of all others.
 */
export function keepRunningOnErrors(logger: Logger): void {
  const log = (kind: string, error: unknown): void => {
    const { message, stack } = error instanceof Error ? error : new Error(String(error));
    logger.log('error', 'unexpected error', { kind, error: message, stack });
  };
  process.on('uncaughtException', (error) => log('exception', error));
  process.on('unhandledRejection', (reason) => log('rejection', reason));
}
