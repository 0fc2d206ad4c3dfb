import { ResultCode, priorityOf, systemClock } from '@shallotcroft/core';
import type { AdaptiveLimitFactory, Objective } from '@shallotcroft/core';
import { ChainNode } from './chainNode.js';
import { Chain, chainShape } from './overloadChain.js';
import type { RootAttempt } from './overloadChain.js';
import { mergeExecutions } from './standInTarget.js';

const ATTEMPT_TOKENS = 3;

/** The chain with overload control by the core library, all nodes within this process. */
export class ControlledChain extends Chain {
  private readonly services: ChainNode[][] = [];

  private readonly edge: ChainNode;

  constructor(objective: Objective, adaptiveLimit?: AdaptiveLimitFactory) {
    super();
    let downstreamNodes: ChainNode[] = [];
    [...chainShape.slots].reverse().forEach((slots, depth) => {
      const next = downstreamNodes;
      downstreamNodes = Array.from(
        { length: chainShape.targetsPerService },
        (_, index) => new ChainNode(`${depth}-${index}`, slots, objective, adaptiveLimit, next),
      );
      this.services.unshift(downstreamNodes);
    });
    this.edge = new ChainNode('edge', 1, objective, adaptiveLimit, downstreamNodes, false);
  }

  override async call(attempt: RootAttempt): Promise<boolean> {
    const patience = new AbortController();
    const timer = systemClock.startTimer(attempt.patienceMs, () => patience.abort());
    const response = await this.edge.callDownstream({
      ...attempt,
      priority: priorityOf(attempt.importance, attempt.caller),
      deadlineAt: systemClock.now() + attempt.patienceMs,
      tokens: ATTEMPT_TOKENS,
      signal: patience.signal,
    });
    timer.cancel();
    return response.code === ResultCode.ok && !patience.signal.aborted;
  }

  override async setSlowdown(factor: number): Promise<void> {
    this.services.at(-1)?.forEach((node) => node.target.setSlowdown(factor));
  }

  override async executions(): Promise<Map<string, number>> {
    return mergeExecutions(this.services.flat().map((node) => node.target));
  }

  override async close(): Promise<void> {
    this.services.flat().forEach((node) => node.admission.close());
  }
}
