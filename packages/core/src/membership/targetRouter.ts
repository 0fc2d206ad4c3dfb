import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { CallResponse } from '../calls/call.js';
import { resultCodeOf, numberHeaderOf } from '../calls/callResponse.js';
import { CallHeader } from '../calls/callHeaders.js';
import type { CallProgress } from '../calls/callProgress.js';
import type { CallerShedding } from '../admission/callerShedding.js';
import type { CallPolicy, Configuration } from '../configuration/configuration.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import type { HomeLocator } from '../atMostOnce/homeLocator.js';
import { shardOf } from '../calls/idempotencyKey.js';
import type { Member } from './member.js';
import { ResultCode } from '../runtime/resultCode.js';
import type { ResultNumber } from '../runtime/resultCode.js';
import { priorityOf } from '../admission/shedLevel.js';
import type { TargetChooser } from './targetChooser.js';
import type { TargetSubsets } from './targetSubset.js';

/** Selects the daemon that an attempt is sent to. */
export interface TargetRouter {
  /**
   * Selects a daemon; fails with `notRunShed`, `notRunNoTarget` or `notHome` before the attempt is
   * sent.
   */
  choose(call: CallProgress): Result<Member, Failure>;
  /** Counts an attempt sent to the daemon. */
  begin(member: Member): void;
  /** Counts the end of an attempt. */
  end(member: Member): void;
  /** Records the shed level and reachability that a response reports. */
  recordResponse(member: Member, response: CallResponse): void;
  /** Records an attempt without a response. */
  recordFailure(member: Member, failure: Failure): void;
}

/** Options of `createTargetRouter`. */
export interface TargetRouterOptions {
  subsets: TargetSubsets;
  homes: HomeLocator;
  configuration: () => Configuration | undefined;
  chooser: TargetChooser;
  shedding: CallerShedding;
}

/** Result codes after which the target is avoided for a while. */
const unreachableCodes = new Set<ResultNumber>([
  ResultCode.notRunConnect,
  ResultCode.notRunDraining,
  ResultCode.notRunNoTarget,
  ResultCode.unknownTimeout,
  ResultCode.unknownConnectionLost,
]);

/** Creates a router that sends no call to a target that would shed it. */
export function createTargetRouter(options: TargetRouterOptions): TargetRouter {
  const { subsets, homes, chooser, shedding } = options;

  /** Targets with the lowest shed level, for calls of a tree that has already begun. */
  function targetsWithLowestShedLevel(targets: Member[]): Member[] {
    const levels = targets.map((member) => shedding.levelOf(member.incarnation));
    const lowest = Math.min(...levels);
    return targets.filter((_member, index) => levels[index] === lowest);
  }

  function chooseRepeatable(call: CallProgress): Result<Member, Failure> {
    const { policy, context, tried, isRoot } = call;
    const targets = subsets.targetsOf(policy.service);
    const priority = priorityOf(context.importance, context.caller);
    const accepting = targets.filter(
      (member) => !shedding.shouldShed(member.incarnation, priority),
    );
    const candidates =
      accepting.length === 0 && !isRoot ? targetsWithLowestShedLevel(targets) : accepting;
    const member = chooser.choose(candidates, tried);
    if (member) return Ok(member);
    if (targets.length > 0) {
      const message = `every target of ${policy.service} sheds ${context.importance} calls; try again later`;
      return Err(createFailure(ResultCode.notRunShed, message));
    }
    const message = `no target of ${policy.service} is known to be serving`;
    return Err(createFailure(ResultCode.notRunNoTarget, message));
  }

  /** Sheds nothing here: only the home knows the outcome of a key. */
  function chooseHome(policy: CallPolicy, key: string): Result<Member, Failure> {
    const shards = options.configuration()?.services[policy.service]?.shards ?? 1;
    const shard = shardOf(key, shards);
    const home = homes.homeOf(policy.service, shard);
    if (home) return Ok(home);
    const message = `no home is known for shard ${shard} of ${policy.service}; try the same key again`;
    return Err(createFailure(ResultCode.notHome, message));
  }

  return {
    choose: (call) => {
      const { key } = call.context;
      const needsHome = call.policy.execution === 'atMostOnce' && key !== undefined;
      return needsHome ? chooseHome(call.policy, key) : chooseRepeatable(call);
    },
    begin: (member) => chooser.begin(member),
    end: (member) => chooser.end(member),
    recordFailure: (member, { code }) => {
      if (unreachableCodes.has(code)) chooser.avoid(member);
    },
    recordResponse: (member, response) => {
      if (unreachableCodes.has(resultCodeOf(response))) chooser.avoid(member);
      shedding.recordLevel(member.incarnation, numberHeaderOf(response, CallHeader.shedLevel, 0));
    },
  };
}
