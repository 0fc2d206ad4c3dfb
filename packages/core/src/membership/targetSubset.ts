import { rendezvous } from '../runtime/hash.js';
import type { Directory, Member } from './member.js';

/** Host of the caller that selects targets. */
export interface CallingHost {
  host: string;
  dataCentre: string;
}

/** Number of targets of one service that a daemon connects to. */
export interface SubsetSize {
  /** Targets in the data centre of the caller. */
  near: number;
  /** Targets in other data centres, spread over them; more if near ones are missing. */
  far: number;
}

/**
 * Near targets take the load; far targets keep the service reachable when the data centre is lost.
 */
export const defaultSubsetSize: SubsetSize = { near: 4, far: 2 };

/**
 * Key that stays the same across restarts of the daemon, so that a restart moves no connections.
 */
function stableKeyOf(target: Member): string {
  return `${target.host}|${target.address}|${target.callPort}`;
}

/**
 * The highest ranked targets; takes a further one of a data centre only after each has provided
 * one.
 */
function spreadAcrossDataCentres(ranked: Member[], count: number): Member[] {
  const chosen: Member[] = [];
  let remaining = ranked;
  while (chosen.length < count && remaining.length > 0) {
    const usedDataCentres = new Set<string>();
    const deferred: Member[] = [];
    remaining.forEach((target) => {
      if (usedDataCentres.has(target.dataCentre) || chosen.length >= count) {
        deferred.push(target);
      } else {
        usedDataCentres.add(target.dataCentre);
        chosen.push(target);
      }
    });
    remaining = deferred;
  }
  return chosen;
}

/**
 * Selects the bounded subset of `targets` that a host connects to: near targets first, the rest
 * spread across other data centres. An added or removed target changes only the subsets that contain it.
 */
export function chooseTargetSubset(
  caller: CallingHost,
  targets: Member[],
  size: SubsetSize = defaultSubsetSize,
): Member[] {
  const local = targets.filter((target) => target.dataCentre === caller.dataCentre);
  const remote = targets.filter((target) => target.dataCentre !== caller.dataCentre);
  const near = rendezvous(caller.host, local, stableKeyOf, size.near);
  const farCount = size.far + (size.near - near.length);
  const ranked = rendezvous(caller.host, remote, stableKeyOf, remote.length);
  return [...near, ...spreadAcrossDataCentres(ranked, farCount)];
}

/** Target subsets by service, cached until the directory changes. */
export interface TargetSubsets {
  /** The targets of `service` that this daemon connects to. */
  targetsOf(service: string): Member[];
}

/** Creates the target subsets of one daemon. */
export function createTargetSubsets(
  caller: CallingHost,
  directory: Directory,
  size: SubsetSize = defaultSubsetSize,
): TargetSubsets {
  const subsets = new Map<string, Member[]>();
  directory.onChange(() => subsets.clear());
  return {
    targetsOf: (service) => {
      const cached = subsets.get(service);
      if (cached) return cached;
      const subset = chooseTargetSubset(caller, directory.targetsOf(service), size);
      subsets.set(service, subset);
      return subset;
    },
  };
}
