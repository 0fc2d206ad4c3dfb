import { systemClock } from '@shallotcroft/core';
import type { Importance, RandomSource } from '@shallotcroft/core';
import type { Chain } from './overloadChain.js';

const PATIENCE_MS = 2000;
/** Most attempts of one caller for one request, made one after the other. */
const CALLER_ATTEMPTS = 4;
const CALLER_RETRY_MS = 20;
const CALLERS = 500;
/** Shares of the load; the most important class fits the capacity under both triggers. */
const importanceShares: [Importance, number][] = [
  ['critical', 0.1],
  ['high', 0.2],
  ['normal', 0.35],
  ['low', 0.35],
];

/** One request of a caller, with all of its attempts. */
export interface RequestRecord {
  importance: Importance;
  /** Arrival time, in milliseconds since the start of the load. */
  arrivedAt: number;
  /** Time of the complete response on the same scale; undefined when there was none. */
  answeredAt: number | undefined;
  /** Root calls made for the request; if it was answered, the last is the one that succeeded. */
  roots: string[];
}

/** Load of one phase of the measurement. */
export interface Phase {
  seconds: number;
  perSecond: number;
  /** Called when the phase begins. */
  begin?: () => Promise<void>;
}

function pickImportance(random: RandomSource): Importance {
  let left = random.next();
  for (const [importance, share] of importanceShares) {
    left -= share;
    if (left < 0) return importance;
  }
  return 'low';
}

/** Load generator: sends requests from callers that retry soon, and records the results. */
export class Load {
  readonly records: RequestRecord[] = [];

  private readonly startedAt = systemClock.now();

  private readonly inFlight = new Set<Promise<void>>();

  constructor(
    private readonly chain: Chain,
    private readonly random: RandomSource,
  ) {}

  /** Runs the phases one after the other, then waits for the requests in flight. */
  async run(phases: Phase[]): Promise<void> {
    let phaseAt = systemClock.now();
    for (const phase of phases) {
      await phase.begin?.();
      await this.runPhase(phase, phaseAt);
      phaseAt += phase.seconds * 1000;
    }
    await Promise.all(this.inFlight);
  }

  /** Starts one request in each of `seconds * perSecond` equal intervals, at a random time within it. */
  private async runPhase(phase: Phase, phaseAt: number): Promise<void> {
    const stepMs = 1000 / phase.perSecond;
    const count = Math.round(phase.seconds * phase.perSecond);
    for (let index = 0; index < count; index++) {
      const dueAt = phaseAt + (index + this.random.next()) * stepMs;
      const wait = dueAt - systemClock.now();
      if (wait >= 1) await systemClock.sleep(wait);
      this.startRequest();
    }
    await systemClock.sleep(Math.max(0, phaseAt + phase.seconds * 1000 - systemClock.now()));
  }

  private startRequest(): void {
    const request = this.request();
    this.inFlight.add(request);
    request.finally(() => this.inFlight.delete(request));
  }

  private elapsedMs(): number {
    return systemClock.now() - this.startedAt;
  }

  private async request(): Promise<void> {
    const importance = pickImportance(this.random);
    const caller = `caller-${Math.floor(this.random.next() * CALLERS)}`;
    const record: RequestRecord = {
      importance,
      arrivedAt: this.elapsedMs(),
      answeredAt: undefined,
      roots: [],
    };
    const number = this.records.push(record);
    for (let attempt = 1; attempt <= CALLER_ATTEMPTS; attempt++) {
      const id = `${number}-${attempt}`;
      record.roots.push(id);
      if (await this.chain.call({ id, importance, caller, patienceMs: PATIENCE_MS })) {
        record.answeredAt = this.elapsedMs();
        return;
      }
      await systemClock.sleep(this.random.next() * 2 * CALLER_RETRY_MS);
    }
  }
}
