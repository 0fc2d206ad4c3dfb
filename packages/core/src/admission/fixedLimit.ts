import { ConcurrencyLimit } from './concurrencyLimit.js';

/** The constant limit that the configuration sets. */
export class FixedLimit extends ConcurrencyLimit {
  constructor(private readonly slots: number) {
    super();
  }

  override current(): number {
    return Math.max(1, Math.floor(this.slots));
  }

  // eslint-disable-next-line class-methods-use-this
  override observe(): void {}
}
