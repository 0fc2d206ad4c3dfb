/** Tokens handed to one attempt; settled exactly once, by its answer or by its loss. */
export class AttemptGrant {
  private settled = false;

  constructor(
    readonly tokens: number,
    private readonly giveBack: (tokens: number) => void,
  ) {}

  /** Takes back what the answer says was not spent, at most what was granted. */
  settle(unspent: number): void {
    if (this.settled) return;
    this.settled = true;
    if (!Number.isInteger(unspent) || unspent <= 0) return;
    this.giveBack(Math.min(unspent, this.tokens));
  }

  /** Gives the tokens up, because no answer says what was spent. */
  forfeit(): void {
    this.settled = true;
  }
}
