import { systemClock } from '@shallotcroft/core';
import { Chain, chainShape } from './overloadChain.js';
import type { RootAttempt } from './overloadChain.js';
import { FixedGate } from './fixedGate.js';
import { StandInTarget, mergeExecutions } from './standInTarget.js';

const HOP_ATTEMPTS = 3;
const HOP_TIMEOUT_MS = 2000;

interface UncontrolledNode {
  target: StandInTarget;
  gate: FixedGate;
}

/** Resolves to false after `ms`; does not cancel the work. */
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
 * The chain without overload control: each service has a timeout of its own and retries, nothing is
 * cancelled, and each target has no concurrency limit or a fixed one.
 */
export class UncontrolledChain extends Chain {
  private readonly services: UncontrolledNode[][];

  private attemptCount = 0;

  private isClosed = false;

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
    return withTimeout(this.callService(0, attempt), attempt.patienceMs);
  }

  override async setSlowdown(factor: number): Promise<void> {
    this.services.at(-1)?.forEach((node) => node.target.setSlowdown(factor));
  }

  override async executions(): Promise<Map<string, number>> {
    return mergeExecutions(this.services.flat().map((node) => node.target));
  }

  override async close(): Promise<void> {
    this.isClosed = true;
    this.services.flat().forEach((node) => node.target.stop());
  }

  private async callService(depth: number, attempt: RootAttempt): Promise<boolean> {
    const service = this.services[depth];
    if (!service) return true;
    for (let attemptIndex = 0; attemptIndex < HOP_ATTEMPTS && !this.isClosed; attemptIndex++) {
      this.attemptCount += 1;
      const node = service[this.attemptCount % service.length] as UncontrolledNode;
      if (await withTimeout(this.runAt(node, depth, attempt), HOP_TIMEOUT_MS)) return true;
    }
    return false;
  }

  private async runAt(node: UncontrolledNode, depth: number, attempt: RootAttempt) {
    if (!(await node.gate.enter())) return false;
    const isComplete = await node.target.run(attempt.id, new AbortController().signal, () =>
      this.callService(depth + 1, attempt),
    );
    node.gate.leave();
    return isComplete;
  }
}
