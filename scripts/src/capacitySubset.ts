import { chooseTargetSubset } from '@shallotcroft/core';
import type { Member } from '@shallotcroft/core';
import { memberAt, servicesOf } from './capacityFleet.js';

const SERVICES_SAMPLED = 12;
const CALLERS_SAMPLED = 4000;

/** Balance and stability of the target subsets that the callers of a fleet choose. */
export interface SubsetQuality {
  size: number;
  targetsPerService: number;
  connectionsPerCaller: number;
  /** Callers of the target with the most, divided by the mean. */
  maxOverMean: number;
  /** Share of all connections that move when one target is removed. */
  movedByOneLoss: number;
  /** Share of callers with no target outside their own data centre. */
  cutOffByDataCentre: number;
}

interface Totals {
  connections: number;
  maxOverMean: number;
  moved: number;
  cutOff: number;
  targets: number;
}

function callersOf(size: number): Member[] {
  const step = Math.max(1, Math.floor(size / CALLERS_SAMPLED));
  const count = Math.min(size, CALLERS_SAMPLED);
  // An odd stride covers every data centre.
  return Array.from({ length: count }, (_, index) => memberAt((index * (step | 1)) % size, size));
}

function addService(totals: Totals, callers: Member[], targets: Member[]): void {
  const callerCounts = new Map<string, number>();
  const remaining = targets.slice(1);
  callers.forEach((caller) => {
    const subset = chooseTargetSubset(caller, targets);
    subset.forEach(({ incarnation }) =>
      callerCounts.set(incarnation, (callerCounts.get(incarnation) ?? 0) + 1),
    );
    const after = chooseTargetSubset(caller, remaining);
    Object.assign(totals, {
      connections: totals.connections + subset.length,
      moved: totals.moved + after.filter((target) => !subset.includes(target)).length,
      cutOff:
        totals.cutOff + (subset.some(({ dataCentre }) => dataCentre !== caller.dataCentre) ? 0 : 1),
    });
  });
  const counts = targets.map(({ incarnation }) => callerCounts.get(incarnation) ?? 0);
  const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
  Object.assign(totals, {
    maxOverMean: totals.maxOverMean + Math.max(...counts) / mean,
    targets: totals.targets + targets.length,
  });
}

/** Measures target subsets for a sample of the services and callers in a fleet of `size`. */
export function measureSubsets(size: number): SubsetQuality {
  const members = Array.from({ length: size }, (_, index) => memberAt(index, size));
  const callers = callersOf(size);
  const services = Math.min(SERVICES_SAMPLED, servicesOf(size));
  const totals: Totals = { connections: 0, maxOverMean: 0, moved: 0, cutOff: 0, targets: 0 };
  for (let service = 0; service < services; service++) {
    const targets = members.filter((member) => member.service === `service-${service}`);
    addService(totals, callers, targets);
  }
  const choices = services * callers.length;
  return {
    size,
    targetsPerService: totals.targets / services,
    connectionsPerCaller: totals.connections / choices,
    maxOverMean: totals.maxOverMean / services,
    movedByOneLoss: totals.moved / totals.connections,
    cutOffByDataCentre: totals.cutOff / choices,
  };
}
