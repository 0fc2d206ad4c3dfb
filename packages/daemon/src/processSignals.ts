import type { EventEmitter } from 'node:events';

/** What the signals of a process ask for. */
export interface SignalHandlers {
  /** SIGHUP: the settings file has changed. */
  reload(): void;
  /** SIGTERM: stop. */
  stop(): void;
}

/** Signals that are held back until there is something to handle them. */
export interface ProcessSignals {
  /** Handles the signals received so far, once each, and all later ones. */
  handleWith(handlers: SignalHandlers): void;
}

/**
 * Receives the signals of a process from now on. A signal without a listener ends the process, so
 * this comes before anything that takes time.
 */
export function receiveSignals(source: EventEmitter): ProcessSignals {
  const received = new Set<keyof SignalHandlers>();
  let handlers: SignalHandlers | undefined;
  const receive = (name: keyof SignalHandlers): void => {
    if (handlers) handlers[name]();
    else received.add(name);
  };
  source.on('SIGHUP', () => receive('reload'));
  source.once('SIGTERM', () => receive('stop'));
  return {
    handleWith: (next) => {
      handlers = next;
      received.forEach((name) => next[name]());
      received.clear();
    },
  };
}
