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

/** A call with all that it carries from hop to hop. */
export interface CarriedCall {
  id: string;
  importance: Importance;
  caller: string;
  place: number;
  deadlineAt: number;
  tokens: number;
  signal: AbortSignal;
}

interface HopAnswer {
  code: ResultNumber;
  tokensLeft: number;
  shedLevel: number;
}

/** One process: it calls the targets of the next service, and may have a target of its own. */
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
    private readonly below: ChainNode[],
    private readonly hasTarget = true,
  ) {
    this.target = new StandInTarget(slots, chainShape.workMs);
    this.admission = createAdmission({
      clock: systemClock,
      settings: { limit: 'adaptive', slots, objective },
      ...(adaptiveLimit && { adaptiveLimit }),
    });
  }

  /** Calls the next service, with retries out of the call's allowance. */
  async callBelow(call: CarriedCall): Promise<HopAnswer> {
    if (this.below.length === 0) {
      return { code: ResultCode.ok, tokensLeft: call.tokens, shedLevel: 0 };
    }
    const allowance = new AttemptAllowance(call.tokens, 1);
    const tried = new Set<string>();
    this.retryBudget.recordCall('below');
    for (let retry = 1; ; retry++) {
      const code = await this.attempt(call, allowance, tried);
      const again = isRetryable({ code, execution: 'repeatable', isSameHome: false });
      const wait = backoffMs(retry, call.deadlineAt - systemClock.now(), systemRandom);
      const mayGo = code !== ResultCode.ok && again && wait !== undefined && !call.signal.aborted;
      if (!mayGo || !this.retryBudget.tryRetry('below') || !allowance.spend()) {
        return { code, tokensLeft: allowance.close(), shedLevel: 0 };
      }
      await systemClock.sleep(wait);
    }
  }

  private async attempt(
    call: CarriedCall,
    allowance: AttemptAllowance,
    tried: Set<string>,
  ): Promise<ResultNumber> {
    const next = this.choose(call.place, tried);
    if (!next) return ResultCode.notRunShed;
    tried.add(next.name);
    const grant = allowance.grantForAttempt();
    this.inFlight.set(next.name, (this.inFlight.get(next.name) ?? 0) + 1);
    const answer = await next.handle({
      ...call,
      tokens: grant.tokens,
      deadlineAt: call.deadlineAt - HOP_RESERVE_MS,
    });
    this.inFlight.set(next.name, (this.inFlight.get(next.name) ?? 0) - 1);
    grant.settle(answer.tokensLeft);
    this.shedding.recordLevel(next.name, answer.shedLevel);
    return answer.code;
  }

  private choose(priority: number, tried: ReadonlySet<string>): ChainNode | undefined {
    const open = this.below.filter((node) => !this.shedding.shouldShed(node.name, priority));
    if (open.length === 0 && this.hasTarget) return this.leastLevelled();
    const fresh = open.filter((node) => !tried.has(node.name));
    const candidates = fresh.length > 0 ? fresh : open;
    const load = (node: ChainNode) => this.inFlight.get(node.name) ?? 0;
    return candidates.sort((one, other) => load(one) - load(other))[0];
  }

  /** Work that has begun is not given up here: the waiting room below decides. */
  private leastLevelled(): ChainNode | undefined {
    const level = (node: ChainNode) => this.shedding.levelOf(node.name);
    return [...this.below].sort((one, other) => level(one) - level(other))[0];
  }

  private downstreamShedLevel(): number {
    return this.shedding.lowestLevelOf(this.below.map((node) => node.name));
  }

  async handle(call: CarriedCall): Promise<HopAnswer> {
    const answer = await this.admitAndRun(call);
    const shedLevel = Math.max(this.admission.shedLevel(), this.downstreamShedLevel());
    return { ...answer, shedLevel };
  }

  private async admitAndRun(call: CarriedCall): Promise<HopAnswer> {
    const refused = { tokensLeft: call.tokens, shedLevel: 0 };
    const permit = await this.admission.enter({
      ...call,
      downstreamShedLevel: () => this.downstreamShedLevel(),
    });
    if (permit.isErr()) return { ...refused, code: permit.error.code };
    let below: HopAnswer = { ...refused, code: ResultCode.unknownCancelled };
    let belowMs = 0;
    await this.target.run(call.id, call.signal, async () => {
      const sentAt = systemClock.now();
      below = await this.callBelow(call);
      belowMs = systemClock.now() - sentAt;
      return below.code === ResultCode.ok;
    });
    const whole = below.code === ResultCode.ok;
    const ended = call.signal.aborted ? 'cancelled' : 'failed';
    permit.value.release(whole ? 'completed' : ended, belowMs);
    return { ...below, code: whole ? ResultCode.ok : ResultCode.unknownConnectionLost };
  }
}
