import { rendezvous } from '../runtime/hash.js';
import type { Directory, Member } from './member.js';

/** The host that chooses among targets. */
export interface CallingHost {
  host: string;
  dataCentre: string;
}

/** How many targets of one service a daemon connects to. */
export interface SubsetSize {
  /** Targets in the own data centre. */
  near: number;
  /** Targets elsewhere, each in another data centre as far as there are enough. */
  far: number;
}

/** Near targets carry the load; far ones keep the service reachable without the data centre. */
export const defaultSubsetSize: SubsetSize = { near: 4, far: 2 };

/** Stays the same when the daemon restarts, so that a restart moves no connections. */
function placeOf(target: Member): string {
  return `${target.host}|${target.address}|${target.callPort}`;
}

/** The best targets, taking a second one of a data centre only when each has given one. */
function spreadOver(ranked: Member[], count: number): Member[] {
  const chosen: Member[] = [];
  let left = ranked;
  while (chosen.length < count && left.length > 0) {
    const used = new Set<string>();
    const passedOver: Member[] = [];
    left.forEach((target) => {
      if (used.has(target.dataCentre) || chosen.length >= count) {
        passedOver.push(target);
      } else {
        used.add(target.dataCentre);
        chosen.push(target);
      }
    });
    left = passedOver;
  }
  return chosen;
}

/**
 * The bounded subset of `targets` that a host connects to: same data centre first, the rest spread
 * over other data centres. A target that comes or goes changes only the choices that it wins or held.
 */
export function chooseTargetSubset(
  caller: CallingHost,
  targets: Member[],
  size: SubsetSize = defaultSubsetSize,
): Member[] {
  const local = targets.filter((target) => target.dataCentre === caller.dataCentre);
  const remote = targets.filter((target) => target.dataCentre !== caller.dataCentre);
  const near = rendezvous(caller.host, local, placeOf, size.near);
  const farCount = size.far + (size.near - near.length);
  const ranked = rendezvous(caller.host, remote, placeOf, remote.length);
  return [...near, ...spreadOver(ranked, farCount)];
}

/** Subsets of the targets of each service, kept until the fleet changes. */
export interface TargetSubsets {
  targetsOf(service: string): Member[];
}

/** Makes the subsets of one daemon. */
export function createTargetSubsets(
  caller: CallingHost,
  directory: Directory,
  size: SubsetSize = defaultSubsetSize,
): TargetSubsets {
  const subsets = new Map<string, Member[]>();
  directory.onChange(() => subsets.clear());
  return {
    targetsOf: (service) => {
      const known = subsets.get(service);
      if (known) return known;
      const subset = chooseTargetSubset(caller, directory.targetsOf(service), size);
      subsets.set(service, subset);
      return subset;
    },
  };
}
