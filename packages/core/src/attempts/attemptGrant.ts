/** Tokens granted to one attempt or child call; settled once, by its response or by its loss. */
export class AttemptGrant {
  private isSettled = false;

  constructor(
    readonly tokens: number,
    private readonly returnTokens: (tokens: number) => void,
  ) {}

  /** Returns the tokens that the response reports as unspent, at most as many as were granted. */
  settle(unspent: number): void {
    if (this.isSettled) return;
    this.isSettled = true;
    if (!Number.isInteger(unspent) || unspent <= 0) return;
    this.returnTokens(Math.min(unspent, this.tokens));
  }

  /** Gives up the tokens, because no response reports how many were spent. */
  forfeit(): void {
    this.isSettled = true;
  }
}
