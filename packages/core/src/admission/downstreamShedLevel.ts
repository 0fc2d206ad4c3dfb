import type { CallerShedding } from './callerShedding.js';
import type { CallPolicy, Configuration } from '../configuration/configuration.js';
import type { TargetSubsets } from '../membership/targetSubset.js';

/** What the level below is made from. */
export interface DownstreamShedLevelOptions {
  subsets: TargetSubsets;
  shedding: CallerShedding;
  configuration: () => Configuration | undefined;
}

/**
 * Level that a call must pass at the services that it calls, so that work which would be refused
 * further down is not begun: the highest among them, each taken at its least shedding target.
 */
export function createDownstreamShedLevel(
  options: DownstreamShedLevelOptions,
): (policy: CallPolicy) => number {
  const { subsets, shedding } = options;

  function levelOfService(service: string): number {
    const targets = subsets.targetsOf(service).map((member) => member.incarnation);
    return shedding.leastLevelOf(targets);
  }

  return (policy) => {
    const calls = options.configuration()?.calls ?? {};
    return policy.children.reduce((highest, name) => {
      const service = calls[name]?.service;
      return service ? Math.max(highest, levelOfService(service)) : highest;
    }, 0);
  };
}
