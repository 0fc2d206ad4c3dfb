import {
  createMembership,
  createSeededRandom,
  peerAddressOf,
  silentLogger,
} from '@shallotcroft/core';
import type { Membership } from '@shallotcroft/core';
import { MemoryNetwork } from '@shallotcroft/playground';
import { memberAt } from './capacityFleet.js';
import { TickClock } from './tickClock.js';

const JOIN_MS = 30_000;
const PARTITION_MS = 300_000;
const MAX_HEAL_MS = 300_000;
const STEP_MS = 1000;
const PEAK_SECONDS = 10;

/** Cost of merging the views of two halves of a fleet after a network partition. */
export interface HealCost {
  size: number;
  secondsToAgree: number | undefined;
  /** Sent and received by one daemon from the end of the partition until all agreed. */
  jsonBytesPerDaemon: number;
  messagesPerDaemon: number;
  /** Highest mean over ten seconds, sent and received by one daemon. */
  peakJsonBytesPerSecond: number;
}

function liveCount(membership: Membership): number {
  return membership.members().filter((member) => member.state !== 'gone').length;
}

/** Returns the highest mean of `counts` (one a second) over `PEAK_SECONDS`. */
function peakOf(counts: number[]): number {
  const sums = counts.map((_, first) =>
    counts.slice(first, first + PEAK_SECONDS).reduce((sum, count) => sum + count, 0),
  );
  return Math.max(...sums) / PEAK_SECONDS;
}

/**
 * Runs every daemon of a fleet of `size`, partitions it into halves for five minutes, and measures
 * the exchange after the partition ends.
 */
export async function measureHeal(size: number): Promise<HealCost> {
  const clock = new TickClock();
  const random = createSeededRandom(17);
  const network = new MemoryNetwork(clock);
  const members = Array.from({ length: size }, (_, index) => memberAt(index, size));
  const isolatedAddresses = new Set(
    members.filter((_, index) => index % 2 === 1).map(({ address }) => address),
  );
  let jsonBytes = 0;
  let messages = 0;
  network.onMessage = ({ requestBytes, answerBytes }) => {
    jsonBytes += requestBytes + answerBytes;
    messages += 1;
  };
  const fleet = members.map((self) => {
    const peer = network.attach(peerAddressOf(self));
    const bootstrap = members.slice(0, 4).map(peerAddressOf);
    return createMembership({
      self,
      clock,
      random,
      peers: peer,
      methods: peer,
      bootstrap: async () => bootstrap,
      logger: silentLogger,
    });
  });
  const isConsistent = (): boolean => fleet.every((membership) => liveCount(membership) === size);
  fleet.forEach((membership) => {
    membership.start().catch(() => undefined);
  });
  await clock.advance(JOIN_MS);
  if (!isConsistent()) throw new Error('the daemons did not agree on the members in time');
  network.reach = (from, to) =>
    isolatedAddresses.has(from.address) === isolatedAddresses.has(to.address);
  await clock.advance(PARTITION_MS);
  network.reach = undefined;
  jsonBytes = 0;
  messages = 0;
  const perSecond: number[] = [];
  while (!isConsistent() && perSecond.length * STEP_MS < MAX_HEAL_MS) {
    const before = jsonBytes;
    await clock.advance(STEP_MS);
    perSecond.push(jsonBytes - before);
  }
  const hasHealed = isConsistent();
  fleet.forEach((membership) => membership.stop());
  return {
    size,
    secondsToAgree: hasHealed ? perSecond.length : undefined,
    jsonBytesPerDaemon: (2 * jsonBytes) / size,
    messagesPerDaemon: (2 * messages) / size,
    peakJsonBytesPerSecond: (2 * peakOf(perSecond)) / size,
  };
}
