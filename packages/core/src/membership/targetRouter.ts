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

/** Finds the daemon that an attempt goes to. */
export interface TargetRouter {
  /** A daemon, or why the attempt is not made; what is refused here was not run. */
  choose(call: CallProgress): Result<Member, Failure>;
  begin(member: Member): void;
  end(member: Member): void;
  /** Learns from the headers of an answer. */
  recordResponse(member: Member, response: CallResponse): void;
  /** Learns from an attempt that got no answer. */
  recordFailure(member: Member, failure: Failure): void;
}

/** What a router needs. */
export interface TargetRouterOptions {
  subsets: TargetSubsets;
  homes: HomeLocator;
  configuration: () => Configuration | undefined;
  chooser: TargetChooser;
  shedding: CallerShedding;
}

/** Ends of an attempt after which another target is the better choice for a while. */
const unreachableCodes = new Set<ResultNumber>([
  ResultCode.notRunConnect,
  ResultCode.notRunDraining,
  ResultCode.notRunNoTarget,
  ResultCode.unknownTimeout,
  ResultCode.unknownConnectionLost,
]);

/** Makes a router that sends nothing to a target which would shed it. */
export function createTargetRouter(options: TargetRouterOptions): TargetRouter {
  const { subsets, homes, chooser, shedding } = options;

  /** The targets that shed least: where a call goes whose tree has been begun already. */
  function leastShedding(targets: Member[]): Member[] {
    const levels = targets.map((member) => shedding.levelOf(member.incarnation));
    const least = Math.min(...levels);
    return targets.filter((_member, index) => levels[index] === least);
  }

  function chooseRepeatable(call: CallProgress): Result<Member, Failure> {
    const { policy, context, tried, isRoot } = call;
    const targets = subsets.targetsOf(policy.service);
    const priority = priorityOf(context.importance, context.caller);
    const open = targets.filter((member) => !shedding.shouldShed(member.incarnation, priority));
    const candidates = open.length === 0 && !isRoot ? leastShedding(targets) : open;
    const member = chooser.choose(candidates, tried);
    if (member) return Ok(member);
    if (targets.length > 0) {
      const message = `every target of ${policy.service} sheds ${context.importance} calls; try again later`;
      return Err(createFailure(ResultCode.notRunShed, message));
    }
    const message = `no target of ${policy.service} is known to be serving`;
    return Err(createFailure(ResultCode.notRunNoTarget, message));
  }

  /** Only the home can tell what became of a key, so nothing is shed before it was asked. */
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
      const atHome = call.policy.execution === 'atMostOnce' && key !== undefined;
      return atHome ? chooseHome(call.policy, key) : chooseRepeatable(call);
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
