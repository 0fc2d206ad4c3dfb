import { incarnationOf, versionOf } from './memberUpdate.js';
import type { MemberUpdate } from './memberUpdate.js';

/** How often one daemon passes on one piece of news. */
export const GOSSIP_TRANSMISSIONS = 6;

/** Most pieces of news in one message. */
export const MAX_UPDATES_PER_MESSAGE = 16;

interface GossipEntry {
  update: MemberUpdate;
  sent: number;
}

/** News that is still being passed on, a bounded number of times each. */
export class GossipQueue {
  private readonly entries = new Map<string, GossipEntry>();

  /** Number of pieces of news that are still passed on. */
  get size(): number {
    return this.entries.size;
  }

  /** Starts to pass on `news`, in place of what was passed on about its incarnation. */
  add(update: MemberUpdate): void {
    this.entries.delete(incarnationOf(update));
    this.entries.set(incarnationOf(update), { update, sent: 0 });
  }

  /** The least told news for one message; leaves out what the other end has just told. */
  take(told: MemberUpdate[] = []): MemberUpdate[] {
    const versions = new Map(told.map((update) => [incarnationOf(update), versionOf(update)]));
    const untold = [...this.entries.values()].filter(
      ({ update }) => (versions.get(incarnationOf(update)) ?? -1) < versionOf(update),
    );
    untold.sort((a, b) => a.sent - b.sent);
    const batch = untold.slice(0, MAX_UPDATES_PER_MESSAGE);
    batch.forEach((entry) => this.countSent(entry));
    return batch.map((entry) => entry.update);
  }

  private countSent(entry: GossipEntry): void {
    // The queue owns its rumours; counting in place keeps their order.
    Object.assign(entry, { sent: entry.sent + 1 });
    if (entry.sent >= GOSSIP_TRANSMISSIONS) this.entries.delete(incarnationOf(entry.update));
  }
}
