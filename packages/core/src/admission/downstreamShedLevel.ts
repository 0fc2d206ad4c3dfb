import type { CallerShedding } from './callerShedding.js';
import type { CallPolicy, Configuration } from '../configuration/configuration.js';
import type { TargetSubsets } from '../membership/targetSubset.js';

/** Options of `createDownstreamShedLevel`. */
export interface DownstreamShedLevelOptions {
  subsets: TargetSubsets;
  shedding: CallerShedding;
  configuration: () => Configuration | undefined;
}

/**
 * Creates a function that returns the shed level of a call's child calls: the highest of the
 * services that it calls, where each service counts with its target of the lowest level. A call
 * below this level is not started, as its child calls would be shed after work was spent on it.
 */
export function createDownstreamShedLevel(
  options: DownstreamShedLevelOptions,
): (policy: CallPolicy) => number {
  const { subsets, shedding } = options;

  function levelOfService(service: string): number {
    const targets = subsets.targetsOf(service).map((member) => member.incarnation);
    return shedding.lowestLevelOf(targets);
  }

  return (policy) => {
    const calls = options.configuration()?.calls ?? {};
    return policy.children.reduce((highest, name) => {
      const service = calls[name]?.service;
      return service ? Math.max(highest, levelOfService(service)) : highest;
    }, 0);
  };
}
