import { incarnationOf, versionOf } from './memberUpdate.js';
import type { MemberUpdate } from './memberUpdate.js';

/** Number of times a daemon sends the same update. */
export const GOSSIP_TRANSMISSIONS = 6;

/** Maximum number of queued updates in one message. */
export const MAX_UPDATES_PER_MESSAGE = 16;

interface GossipEntry {
  update: MemberUpdate;
  sentCount: number;
}

/** Updates to spread by gossip, each sent a bounded number of times. */
export class GossipQueue {
  private readonly entries = new Map<string, GossipEntry>();

  /** Number of queued updates. */
  get size(): number {
    return this.entries.size;
  }

  /** Queues an update; it replaces a queued update about the same incarnation. */
  add(update: MemberUpdate): void {
    this.entries.delete(incarnationOf(update));
    this.entries.set(incarnationOf(update), { update, sentCount: 0 });
  }

  /**
   * Takes the least sent updates for one message, without those that the peer has just sent in
   * `received`.
   */
  take(received: MemberUpdate[] = []): MemberUpdate[] {
    const receivedVersions = new Map(
      received.map((update) => [incarnationOf(update), versionOf(update)]),
    );
    const pending = [...this.entries.values()].filter(
      ({ update }) => (receivedVersions.get(incarnationOf(update)) ?? -1) < versionOf(update),
    );
    pending.sort((a, b) => a.sentCount - b.sentCount);
    const batch = pending.slice(0, MAX_UPDATES_PER_MESSAGE);
    batch.forEach((entry) => this.countSent(entry));
    return batch.map((entry) => entry.update);
  }

  private countSent(entry: GossipEntry): void {
    // Counts in place so that the entries keep their order in the queue.
    Object.assign(entry, { sentCount: entry.sentCount + 1 });
    if (entry.sentCount >= GOSSIP_TRANSMISSIONS) this.entries.delete(incarnationOf(entry.update));
  }
}
