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
const CUT_MS = 300_000;
const HEAL_BOUND_MS = 300_000;
const STEP_MS = 1000;
const PEAK_SECONDS = 10;

/** How two halves of a fleet become whole again, with every daemon running. */
export interface HealCost {
  size: number;
  secondsToAgree: number | undefined;
  /** From the heal until all agreed, sent and received by one daemon. */
  jsonBytesPerDaemon: number;
  messagesPerDaemon: number;
  /** Highest average of JSON over ten seconds. */
  peakJsonBytesPerSecond: number;
}

function liveCount(membership: Membership): number {
  return membership.members().filter((member) => member.state !== 'gone').length;
}

/** Highest mean over `PEAK_SECONDS` of what was counted each second. */
function peakOf(counts: number[]): number {
  const sums = counts.map((_, first) =>
    counts.slice(first, first + PEAK_SECONDS).reduce((sum, count) => sum + count, 0),
  );
  return Math.max(...sums) / PEAK_SECONDS;
}

/** Cuts a fleet of `size` into halves for minutes and measures how it heals. */
export async function measureHeal(size: number): Promise<HealCost> {
  const clock = new TickClock();
  const random = createSeededRandom(17);
  const network = new MemoryNetwork(clock);
  const members = Array.from({ length: size }, (_, index) => memberAt(index, size));
  const far = new Set(members.filter((_, index) => index % 2 === 1).map(({ address }) => address));
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
  const agrees = (): boolean => fleet.every((membership) => liveCount(membership) === size);
  fleet.forEach((membership) => {
    membership.start().catch(() => undefined);
  });
  await clock.advance(JOIN_MS);
  if (!agrees()) throw new Error('the fleet did not come together');
  network.reach = (from, to) => far.has(from.address) === far.has(to.address);
  await clock.advance(CUT_MS);
  network.reach = undefined;
  jsonBytes = 0;
  messages = 0;
  const perSecond: number[] = [];
  while (!agrees() && perSecond.length * STEP_MS < HEAL_BOUND_MS) {
    const before = jsonBytes;
    await clock.advance(STEP_MS);
    perSecond.push(jsonBytes - before);
  }
  const whole = agrees();
  fleet.forEach((membership) => membership.stop());
  return {
    size,
    secondsToAgree: whole ? perSecond.length : undefined,
    jsonBytesPerDaemon: (2 * jsonBytes) / size,
    messagesPerDaemon: (2 * messages) / size,
    peakJsonBytesPerSecond: (2 * peakOf(perSecond)) / size,
  };
}
