/** A signal that is aborted with the first of others, or by hand. */
export interface JoinedSignal {
  signal: AbortSignal;
  abort(reason: Error): void;
  /** Stops listening to the others. */
  release(): void;
}

/** Joins signals; cheaper than `AbortSignal.any`, and it leaves nothing behind once released. */
export function joinSignals(...sources: AbortSignal[]): JoinedSignal {
  const joined = new AbortController();
  const links = sources.map((source) => {
    const abort = (): void => joined.abort(source.reason);
    if (source.aborted) abort();
    source.addEventListener('abort', abort, { once: true });
    return { source, abort };
  });
  return {
    signal: joined.signal,
    abort: (reason) => joined.abort(reason),
    release: () => links.forEach(({ source, abort }) => source.removeEventListener('abort', abort)),
  };
}
