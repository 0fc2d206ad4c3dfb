import { Store } from '@shallotcroft/core';
import type { StoreEntry, Watch } from '@shallotcroft/core';
import type { PausableClock } from './pausableClock.js';

/** A store as a process that can be paused sees it: no answer reaches a paused process. */
export class PausableStore extends Store {
  constructor(
    private readonly store: Store,
    private readonly clock: PausableClock,
  ) {
    super();
  }

  get(...args: Parameters<Store['get']>): ReturnType<Store['get']> {
    return this.whenAwake(this.store.get(...args));
  }

  list(...args: Parameters<Store['list']>): ReturnType<Store['list']> {
    return this.whenAwake(this.store.list(...args));
  }

  swap(...args: Parameters<Store['swap']>): ReturnType<Store['swap']> {
    return this.whenAwake(this.store.swap(...args));
  }

  remove(...args: Parameters<Store['remove']>): ReturnType<Store['remove']> {
    return this.whenAwake(this.store.remove(...args));
  }

  grantLease(...args: Parameters<Store['grantLease']>): ReturnType<Store['grantLease']> {
    return this.whenAwake(this.store.grantLease(...args));
  }

  renewLease(...args: Parameters<Store['renewLease']>): ReturnType<Store['renewLease']> {
    return this.whenAwake(this.store.renewLease(...args));
  }

  watch(prefix: string, listener: (entry: StoreEntry) => void): Watch {
    return this.store.watch(prefix, listener);
  }

  close(): Promise<void> {
    return this.store.close();
  }

  private async whenAwake<T>(answer: Promise<T>): Promise<T> {
    const result = await answer;
    await this.clock.awake();
    return result;
  }
}
