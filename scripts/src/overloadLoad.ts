import { systemClock } from '@shallotcroft/core';
import type { Importance, RandomSource } from '@shallotcroft/core';
import type { Chain } from './overloadChain.js';

const PATIENCE_MS = 2000;
/** Attempts of one caller for one request, made one after the other. */
const CALLER_ATTEMPTS = 4;
const CALLER_RETRY_MS = 20;
const CALLERS = 500;
/** Shares of the demand; the most important class fits the capacity under both triggers. */
const mix: [Importance, number][] = [
  ['critical', 0.1],
  ['high', 0.2],
  ['normal', 0.35],
  ['low', 0.35],
];

/** One request of a caller, with all of its attempts. */
export interface RequestRecord {
  importance: Importance;
  /** When it came, in milliseconds since the start of the load. */
  cameAt: number;
  /** When the whole answer came; undefined when none did. */
  answeredAt: number | undefined;
  /** Root calls made for it, the last of which is the one answered. */
  roots: string[];
}

/** Demand of one phase. */
export interface Phase {
  seconds: number;
  perSecond: number;
  /** Runs when the phase begins. */
  begin?: () => Promise<void>;
}

function pickImportance(random: RandomSource): Importance {
  let left = random.next();
  for (const [importance, share] of mix) {
    left -= share;
    if (left < 0) return importance;
  }
  return 'low';
}

/** Sends demand into a chain, from callers that retry hard, and records what became of it. */
export class Load {
  readonly records: RequestRecord[] = [];

  private readonly startedAt = systemClock.now();

  private readonly underWay = new Set<Promise<void>>();

  constructor(
    private readonly chain: Chain,
    private readonly random: RandomSource,
  ) {}

  /** Runs the phases one after the other, then waits for the last answers. */
  async run(phases: Phase[]): Promise<void> {
    let phaseAt = systemClock.now();
    for (const phase of phases) {
      await phase.begin?.();
      await this.runPhase(phase, phaseAt);
      phaseAt += phase.seconds * 1000;
    }
    await Promise.all(this.underWay);
  }

  /** Requests come at even steps, each at a random time within its step. */
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
    this.underWay.add(request);
    request.finally(() => this.underWay.delete(request));
  }

  private sinceStart(): number {
    return systemClock.now() - this.startedAt;
  }

  private async request(): Promise<void> {
    const importance = pickImportance(this.random);
    const caller = `caller-${Math.floor(this.random.next() * CALLERS)}`;
    const record: RequestRecord = {
      importance,
      cameAt: this.sinceStart(),
      answeredAt: undefined,
      roots: [],
    };
    const number = this.records.push(record);
    for (let attempt = 1; attempt <= CALLER_ATTEMPTS; attempt++) {
      const id = `${number}-${attempt}`;
      record.roots.push(id);
      if (await this.chain.call({ id, importance, caller, patienceMs: PATIENCE_MS })) {
        record.answeredAt = this.sinceStart();
        return;
      }
      await systemClock.sleep(this.random.next() * 2 * CALLER_RETRY_MS);
    }
  }
}
