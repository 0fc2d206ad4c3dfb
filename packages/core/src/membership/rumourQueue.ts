import { incarnationOf, versionOf } from './memberNews.js';
import type { MemberNews } from './memberNews.js';

/** How often one daemon passes on one piece of news. */
export const RUMOUR_TRANSMISSIONS = 6;

/** Most pieces of news in one message. */
export const MAX_NEWS_PER_MESSAGE = 16;

interface Rumour {
  news: MemberNews;
  sent: number;
}

/** News that is still being passed on, a bounded number of times each. */
export class RumourQueue {
  private readonly rumours = new Map<string, Rumour>();

  /** Number of pieces of news that are still passed on. */
  get size(): number {
    return this.rumours.size;
  }

  /** Starts to pass on `news`, in place of what was passed on about its incarnation. */
  add(news: MemberNews): void {
    this.rumours.delete(incarnationOf(news));
    this.rumours.set(incarnationOf(news), { news, sent: 0 });
  }

  /** The least told news for one message; leaves out what the other end has just told. */
  take(told: MemberNews[] = []): MemberNews[] {
    const versions = new Map(told.map((news) => [incarnationOf(news), versionOf(news)]));
    const untold = [...this.rumours.values()].filter(
      ({ news }) => (versions.get(incarnationOf(news)) ?? -1) < versionOf(news),
    );
    untold.sort((a, b) => a.sent - b.sent);
    const batch = untold.slice(0, MAX_NEWS_PER_MESSAGE);
    batch.forEach((rumour) => this.countSent(rumour));
    return batch.map((rumour) => rumour.news);
  }

  private countSent(rumour: Rumour): void {
    // The queue owns its rumours; counting in place keeps their order.
    Object.assign(rumour, { sent: rumour.sent + 1 });
    if (rumour.sent >= RUMOUR_TRANSMISSIONS) this.rumours.delete(incarnationOf(rumour.news));
  }
}
