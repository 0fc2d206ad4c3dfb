import {
  AttemptAllowance,
  HOP_RESERVE_MS,
  ResultCode,
  RetryBudget,
  backoffMs,
  createAdmission,
  createCallerShedding,
  isRetryable,
  systemClock,
  systemRandom,
} from '@shallotcroft/core';
import type {
  AdaptiveLimitFactory,
  Admission,
  CallerShedding,
  Importance,
  Objective,
  ResultNumber,
} from '@shallotcroft/core';
import { chainShape } from './overloadChain.js';
import { StandInTarget } from './standInTarget.js';

/** A call with the values that each service passes on to the next. */
export interface ChainCall {
  id: string;
  importance: Importance;
  caller: string;
  priority: number;
  deadlineAt: number;
  tokens: number;
  signal: AbortSignal;
}

interface ChainResponse {
  code: ResultNumber;
  tokensLeft: number;
  shedLevel: number;
}

/** One node of the chain: calls the targets of the next service, and may have a target of its own. */
export class ChainNode {
  readonly admission: Admission;

  readonly target: StandInTarget;

  private readonly shedding: CallerShedding = createCallerShedding(systemClock, systemRandom);

  private readonly retryBudget = new RetryBudget(systemClock);

  private readonly inFlight = new Map<string, number>();

  constructor(
    readonly name: string,
    slots: number,
    objective: Objective,
    adaptiveLimit: AdaptiveLimitFactory | undefined,
    private readonly downstreamNodes: ChainNode[],
    private readonly hasTarget = true,
  ) {
    this.target = new StandInTarget(slots, chainShape.workMs);
    this.admission = createAdmission({
      clock: systemClock,
      settings: { limit: 'adaptive', slots, objective },
      ...(adaptiveLimit && { adaptiveLimit }),
    });
  }

  /** Calls the next service, with retries within the attempt allowance of the call. */
  async callDownstream(call: ChainCall): Promise<ChainResponse> {
    if (this.downstreamNodes.length === 0) {
      return { code: ResultCode.ok, tokensLeft: call.tokens, shedLevel: 0 };
    }
    const allowance = new AttemptAllowance(call.tokens, 1);
    const tried = new Set<string>();
    this.retryBudget.recordCall('downstream');
    for (let retry = 1; ; retry++) {
      const code = await this.attempt(call, allowance, tried);
      const isRetryableResult = isRetryable({ code, execution: 'repeatable', isSameHome: false });
      const wait = backoffMs(retry, call.deadlineAt - systemClock.now(), systemRandom);
      const shouldRetry =
        code !== ResultCode.ok && isRetryableResult && wait !== undefined && !call.signal.aborted;
      if (!shouldRetry || !this.retryBudget.tryRetry('downstream') || !allowance.spend()) {
        return { code, tokensLeft: allowance.close(), shedLevel: 0 };
      }
      await systemClock.sleep(wait);
    }
  }

  private async attempt(
    call: ChainCall,
    allowance: AttemptAllowance,
    tried: Set<string>,
  ): Promise<ResultNumber> {
    const next = this.chooseNode(call.priority, tried);
    if (!next) return ResultCode.notRunShed;
    tried.add(next.name);
    const grant = allowance.grantForAttempt();
    this.inFlight.set(next.name, (this.inFlight.get(next.name) ?? 0) + 1);
    const response = await next.handle({
      ...call,
      tokens: grant.tokens,
      deadlineAt: call.deadlineAt - HOP_RESERVE_MS,
    });
    this.inFlight.set(next.name, (this.inFlight.get(next.name) ?? 0) - 1);
    grant.settle(response.tokensLeft);
    this.shedding.recordLevel(next.name, response.shedLevel);
    return response.code;
  }

  private chooseNode(priority: number, tried: ReadonlySet<string>): ChainNode | undefined {
    const accepting = this.downstreamNodes.filter(
      (node) => !this.shedding.shouldShed(node.name, priority),
    );
    if (accepting.length === 0 && this.hasTarget) return this.lowestShedLevelNode();
    const untried = accepting.filter((node) => !tried.has(node.name));
    const candidates = untried.length > 0 ? untried : accepting;
    const load = (node: ChainNode) => this.inFlight.get(node.name) ?? 0;
    return candidates.sort((one, other) => load(one) - load(other))[0];
  }

  /**
   * Used when the next service sheds the call at all of its targets: a call that has begun is sent
   * on all the same, and the admission queue of the next target decides.
   */
  private lowestShedLevelNode(): ChainNode | undefined {
    const level = (node: ChainNode) => this.shedding.levelOf(node.name);
    return [...this.downstreamNodes].sort((one, other) => level(one) - level(other))[0];
  }

  private downstreamShedLevel(): number {
    return this.shedding.lowestLevelOf(this.downstreamNodes.map((node) => node.name));
  }

  async handle(call: ChainCall): Promise<ChainResponse> {
    const response = await this.admitAndRun(call);
    const shedLevel = Math.max(this.admission.shedLevel(), this.downstreamShedLevel());
    return { ...response, shedLevel };
  }

  private async admitAndRun(call: ChainCall): Promise<ChainResponse> {
    const rejected = { tokensLeft: call.tokens, shedLevel: 0 };
    const permit = await this.admission.enter({
      ...call,
      downstreamShedLevel: () => this.downstreamShedLevel(),
    });
    if (permit.isErr()) return { ...rejected, code: permit.error.code };
    let downstream: ChainResponse = { ...rejected, code: ResultCode.unknownCancelled };
    let downstreamMs = 0;
    await this.target.run(call.id, call.signal, async () => {
      const sentAt = systemClock.now();
      downstream = await this.callDownstream(call);
      downstreamMs = systemClock.now() - sentAt;
      return downstream.code === ResultCode.ok;
    });
    const isComplete = downstream.code === ResultCode.ok;
    const failureResult = call.signal.aborted ? 'cancelled' : 'failed';
    permit.value.release(isComplete ? 'completed' : failureResult, downstreamMs);
    return { ...downstream, code: isComplete ? ResultCode.ok : ResultCode.unknownConnectionLost };
  }
}
