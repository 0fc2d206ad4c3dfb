import type { RouteShare } from './route.js';

/** A share with its present credit in the round robin. */
interface ShareCredit {
  share: RouteShare;
  credit: number;
}

/**
 * Distributes requests over shares in proportion to their weights by smooth weighted round robin.
 * Unlike random choice, this is exact even over a few requests.
 */
export class WeightedSplit {
  private readonly credits: ShareCredit[];

  private readonly totalWeight: number;

  /** `start`, from 0 to 1, is where the rotation starts; it keeps hosts from rotating in step. */
  constructor(shares: RouteShare[], start = 0) {
    this.totalWeight = shares.reduce((sum, share) => sum + share.weight, 0);
    this.credits = shares.map((share) => ({ share, credit: 0 }));
    const skipped = Math.floor(start * this.totalWeight);
    if (shares.length > 1) for (let step = 0; step < skipped; step++) this.next();
  }

  /** Service that receives the next request; undefined when no share has weight. */
  next(): string | undefined {
    if (this.credits.length === 1) return this.credits[0]?.share.service;
    let best: ShareCredit | undefined;
    for (const entry of this.credits) {
      entry.credit += entry.share.weight;
      if (entry.share.weight > 0 && (!best || entry.credit > best.credit)) best = entry;
    }
    if (best) best.credit -= this.totalWeight;
    return best?.share.service;
  }
}
