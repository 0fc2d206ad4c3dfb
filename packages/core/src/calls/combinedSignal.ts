/** Signal that is aborted by any of its source signals or by `abort`. */
export interface CombinedSignal {
  signal: AbortSignal;
  abort(reason: Error): void;
  /** Removes the listeners from the source signals. */
  release(): void;
}

/**
 * Combines signals. Costs less than `AbortSignal.any`, and no listener stays on the sources after
 * `release`.
 */
export function combineSignals(...sources: AbortSignal[]): CombinedSignal {
  const controller = new AbortController();
  const listeners = sources.map((source) => {
    const abort = (): void => controller.abort(source.reason);
    if (source.aborted) abort();
    source.addEventListener('abort', abort, { once: true });
    return { source, abort };
  });
  return {
    signal: controller.signal,
    abort: (reason) => controller.abort(reason),
    release: () =>
      listeners.forEach(({ source, abort }) => source.removeEventListener('abort', abort)),
  };
}
