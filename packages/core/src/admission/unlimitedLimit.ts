import { ConcurrencyLimit } from './concurrencyLimit.js';

/** No limit: every call goes to the target without queueing. */
export class UnlimitedLimit extends ConcurrencyLimit {
  // eslint-disable-next-line class-methods-use-this
  override current(): number {
    return Infinity;
  }

  // eslint-disable-next-line class-methods-use-this
  override observe(): void {}
}
