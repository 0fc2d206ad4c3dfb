import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { CallHeader } from './callHeaders.js';
import type { Clock, Timer } from '../runtime/clock.js';

/** Interval of the interim responses to a request in flight, in milliseconds. */
export const INTERIM_INTERVAL_MS = 300;

/** Idle timeout for servers that send interim responses, in milliseconds. */
export const INTERIM_TIMEOUT_MS = 1000;

/** Sender of the interim responses of one server. */
export interface InterimResponses {
  /** Stops sending interim responses. */
  stop(): void;
}

/**
 * Sends `102 Processing` every `INTERIM_INTERVAL_MS` for each request in flight that carries a
 * request id, so that its caller can distinguish a slow call from an unresponsive connection.
 */
export function startInterimResponses(server: Server, clock: Clock): InterimResponses {
  // A request that arrives in one interval gets its first interim response at the end of the next.
  const due = new Set<ServerResponse>();
  const recent = new Set<ServerResponse>();
  let timer: Timer;

  function add(incoming: IncomingMessage, response: ServerResponse): void {
    if (incoming.headers[CallHeader.request] !== undefined) recent.add(response);
  }

  function sendInterimResponses(): void {
    due.forEach((response) => {
      if (response.headersSent || response.destroyed) due.delete(response);
      else response.writeProcessing();
    });
    recent.forEach((response) => due.add(response));
    recent.clear();
    timer = clock.startTimer(INTERIM_INTERVAL_MS, sendInterimResponses);
  }

  timer = clock.startTimer(INTERIM_INTERVAL_MS, sendInterimResponses);
  server.on('request', add);
  return {
    stop: () => {
      timer.cancel();
      server.off('request', add);
      due.clear();
      recent.clear();
    },
  };
}
