import { ResultCode, priorityOf, systemClock } from '@shallotcroft/core';
import type { AdaptiveLimitFactory, Objective } from '@shallotcroft/core';
import { ChainNode } from './chainNode.js';
import { Chain, chainShape } from './overloadChain.js';
import type { RootAttempt } from './overloadChain.js';
import { mergeExecutions } from './standInTarget.js';

const ATTEMPT_TOKENS = 3;

/** The chain under this project's control, all parts within one process. */
export class ControlledChain extends Chain {
  private readonly services: ChainNode[][] = [];

  private readonly edge: ChainNode;

  constructor(objective: Objective, adaptiveLimit?: AdaptiveLimitFactory) {
    super();
    let below: ChainNode[] = [];
    [...chainShape.slots].reverse().forEach((slots, depth) => {
      const next = below;
      below = Array.from(
        { length: chainShape.targetsPerService },
        (_, index) => new ChainNode(`${depth}-${index}`, slots, objective, adaptiveLimit, next),
      );
      this.services.unshift(below);
    });
    this.edge = new ChainNode('edge', 1, objective, adaptiveLimit, below, false);
  }

  override async call(attempt: RootAttempt): Promise<boolean> {
    const gone = new AbortController();
    const timer = systemClock.startTimer(attempt.patienceMs, () => gone.abort());
    const answer = await this.edge.callBelow({
      ...attempt,
      place: priorityOf(attempt.importance, attempt.caller),
      deadlineAt: systemClock.now() + attempt.patienceMs,
      tokens: ATTEMPT_TOKENS,
      signal: gone.signal,
    });
    timer.cancel();
    return answer.code === ResultCode.ok && !gone.signal.aborted;
  }

  override async slowDown(factor: number): Promise<void> {
    this.services.at(-1)?.forEach((node) => node.target.slowDown(factor));
  }

  override async executions(): Promise<Map<string, number>> {
    return mergeExecutions(this.services.flat().map((node) => node.target));
  }

  override async close(): Promise<void> {
    this.services.flat().forEach((node) => node.admission.close());
  }
}
