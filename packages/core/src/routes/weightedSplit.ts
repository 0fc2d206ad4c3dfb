import type { RouteShare } from './route.js';

interface ShareCredit {
  share: RouteShare;
  credit: number;
}

/**
 * Spreads requests over shares in exact proportion to their weights (smooth weighted round
 * robin): shares of a few requests come out even too, which random choice does not give.
 */
export class WeightedSplit {
  private readonly credits: ShareCredit[];

  private readonly total: number;

  /** `start` from 0 to 1 sets where the rotation begins, so that hosts do not move in step. */
  constructor(shares: RouteShare[], start = 0) {
    this.total = shares.reduce((sum, share) => sum + share.weight, 0);
    this.credits = shares.map((share) => ({ share, credit: 0 }));
    const skipped = Math.floor(start * this.total);
    if (shares.length > 1) for (let step = 0; step < skipped; step++) this.next();
  }

  /** Service that takes the next request; undefined when no share has weight. */
  next(): string | undefined {
    if (this.credits.length === 1) return this.credits[0]?.share.service;
    let best: ShareCredit | undefined;
    for (const entry of this.credits) {
      entry.credit += entry.share.weight;
      if (entry.share.weight > 0 && (!best || entry.credit > best.credit)) best = entry;
    }
    if (best) best.credit -= this.total;
    return best?.share.service;
  }
}
