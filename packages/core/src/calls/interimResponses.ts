import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { CallHeader } from './callHeaders.js';
import type { Clock, Timer } from '../runtime/clock.js';

/** How often a call under way says so, in milliseconds. */
export const INTERIM_INTERVAL_MS = 300;

/** Longest silence of a daemon that sends interim answers, in milliseconds. */
export const INTERIM_TIMEOUT_MS = 1000;

/** Interim answers of one server. */
export interface InterimResponses {
  /** Sends no more of them. */
  stop(): void;
}

/**
 * Sends `102 Processing` at a known interval for each request that carries a request id and is
 * not yet answered, so that its caller can tell a slow call from a silent connection.
 */
export function startInterimResponses(server: Server, clock: Clock): InterimResponses {
  const older = new Set<ServerResponse>();
  const newer = new Set<ServerResponse>();
  let timer: Timer;

  function add(incoming: IncomingMessage, response: ServerResponse): void {
    if (incoming.headers[CallHeader.request] !== undefined) newer.add(response);
  }

  function beat(): void {
    older.forEach((response) => {
      if (response.headersSent || response.destroyed) older.delete(response);
      else response.writeProcessing();
    });
    newer.forEach((response) => older.add(response));
    newer.clear();
    timer = clock.startTimer(INTERIM_INTERVAL_MS, beat);
  }

  timer = clock.startTimer(INTERIM_INTERVAL_MS, beat);
  server.on('request', add);
  return {
    stop: () => {
      timer.cancel();
      server.off('request', add);
      older.clear();
      newer.clear();
    },
  };
}
