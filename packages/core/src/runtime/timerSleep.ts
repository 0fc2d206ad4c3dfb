import type { Clock } from './clock.js';

/** Sleeps `ms` milliseconds with a clock's timer; rejects with the signal's reason when aborted. */
export async function sleepWithTimer(
  clock: Pick<Clock, 'startTimer'>,
  ms: number,
  signal?: AbortSignal,
): Promise<void> {
  signal?.throwIfAborted();
  let release = (): void => undefined;
  await new Promise<void>((resolve) => {
    const onAbort = (): void => resolve();
    const timer = clock.startTimer(ms, resolve);
    signal?.addEventListener('abort', onAbort, { once: true });
    release = () => {
      timer.cancel();
      signal?.removeEventListener('abort', onAbort);
    };
  });
  release();
  signal?.throwIfAborted();
}
