import { Store } from '@shallotcroft/core';
import type { StoreEntry, Watch } from '@shallotcroft/core';
import type { PausableClock } from './pausableClock.js';

/** Store of a process that can be paused: responses arrive only after the process is resumed. */
export class PausableStore extends Store {
  constructor(
    private readonly store: Store,
    private readonly clock: PausableClock,
  ) {
    super();
  }

  get(...args: Parameters<Store['get']>): ReturnType<Store['get']> {
    return this.deliverWhenResumed(this.store.get(...args));
  }

  list(...args: Parameters<Store['list']>): ReturnType<Store['list']> {
    return this.deliverWhenResumed(this.store.list(...args));
  }

  swap(...args: Parameters<Store['swap']>): ReturnType<Store['swap']> {
    return this.deliverWhenResumed(this.store.swap(...args));
  }

  remove(...args: Parameters<Store['remove']>): ReturnType<Store['remove']> {
    return this.deliverWhenResumed(this.store.remove(...args));
  }

  grantLease(...args: Parameters<Store['grantLease']>): ReturnType<Store['grantLease']> {
    return this.deliverWhenResumed(this.store.grantLease(...args));
  }

  renewLease(...args: Parameters<Store['renewLease']>): ReturnType<Store['renewLease']> {
    return this.deliverWhenResumed(this.store.renewLease(...args));
  }

  watch(prefix: string, listener: (entry: StoreEntry) => void): Watch {
    return this.store.watch(prefix, listener);
  }

  close(): Promise<void> {
    return this.store.close();
  }

  private async deliverWhenResumed<T>(response: Promise<T>): Promise<T> {
    const result = await response;
    await this.clock.untilResumed();
    return result;
  }
}
