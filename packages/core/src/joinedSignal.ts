/** A signal that is aborted with the first of two others. */
export interface JoinedSignal {
  signal: AbortSignal;
  /** Stops listening to the others. */
  release(): void;
}

/** Joins two signals; cheaper than `AbortSignal.any`, and it leaves nothing behind once released. */
export function joinSignals(first: AbortSignal, second: AbortSignal): JoinedSignal {
  const joined = new AbortController();
  const abortWithFirst = (): void => joined.abort(first.reason);
  const abortWithSecond = (): void => joined.abort(second.reason);
  if (first.aborted) abortWithFirst();
  if (second.aborted) abortWithSecond();
  first.addEventListener('abort', abortWithFirst, { once: true });
  second.addEventListener('abort', abortWithSecond, { once: true });
  return {
    signal: joined.signal,
    release: () => {
      first.removeEventListener('abort', abortWithFirst);
      second.removeEventListener('abort', abortWithSecond);
    },
  };
}
