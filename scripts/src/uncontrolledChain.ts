import { systemClock } from '@shallotcroft/core';
import { Chain, chainShape } from './overloadChain.js';
import type { RootAttempt } from './overloadChain.js';
import { FixedGate } from './fixedGate.js';
import { StandInTarget, mergeExecutions } from './standInTarget.js';

const HOP_ATTEMPTS = 3;
const HOP_TIMEOUT_MS = 2000;

interface ConventionalNode {
  target: StandInTarget;
  gate: FixedGate;
}

/** Settles as false after `ms`; the work goes on, as nobody tells it to stop. */
async function withTimeout(work: Promise<boolean>, ms: number): Promise<boolean> {
  const stop = new AbortController();
  const late = systemClock.sleep(ms, stop.signal).then(
    () => false,
    () => false,
  );
  const done = await Promise.race([work, late]);
  stop.abort();
  return done;
}

/**
 * A chain as it is without this project: each hop has a timeout of its own and retries, nothing is
 * cancelled, and each target has no limit or a fixed one.
 */
export class UncontrolledChain extends Chain {
  private readonly services: ConventionalNode[][];

  private turn = 0;

  private closed = false;

  constructor(limit: 'none' | 'fixed') {
    super();
    this.services = chainShape.slots.map((slots) =>
      Array.from({ length: chainShape.targetsPerService }, () => ({
        target: new StandInTarget(slots, chainShape.workMs),
        gate: new FixedGate(limit === 'fixed' ? slots : Infinity),
      })),
    );
  }

  override call(attempt: RootAttempt): Promise<boolean> {
    return withTimeout(this.hop(0, attempt), attempt.patienceMs);
  }

  override async slowDown(factor: number): Promise<void> {
    this.services.at(-1)?.forEach((node) => node.target.slowDown(factor));
  }

  override async executions(): Promise<Map<string, number>> {
    return mergeExecutions(this.services.flat().map((node) => node.target));
  }

  override async close(): Promise<void> {
    this.closed = true;
    this.services.flat().forEach((node) => node.target.stop());
  }

  private async hop(depth: number, attempt: RootAttempt): Promise<boolean> {
    const service = this.services[depth];
    if (!service) return true;
    for (let tries = 0; tries < HOP_ATTEMPTS && !this.closed; tries++) {
      this.turn += 1;
      const node = service[this.turn % service.length] as ConventionalNode;
      if (await withTimeout(this.runAt(node, depth, attempt), HOP_TIMEOUT_MS)) return true;
    }
    return false;
  }

  private async runAt(node: ConventionalNode, depth: number, attempt: RootAttempt) {
    if (!(await node.gate.enter())) return false;
    const whole = await node.target.run(attempt.id, new AbortController().signal, () =>
      this.hop(depth + 1, attempt),
    );
    node.gate.leave();
    return whole;
  }
}
