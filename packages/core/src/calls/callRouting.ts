import { createCallerShedding } from '../admission/callerShedding.js';
import type { CallerShedding } from '../admission/callerShedding.js';
import type { Clock } from '../runtime/clock.js';
import type { Configuration } from '../configuration/configuration.js';
import { createHomeLocator } from '../atMostOnce/homeLocator.js';
import type { Directory } from '../membership/member.js';
import type { RandomSource } from '../runtime/random.js';
import { createTargetChooser } from '../membership/targetChooser.js';
import { createTargetRouter } from '../membership/targetRouter.js';
import type { TargetRouter } from '../membership/targetRouter.js';
import { createTargetSubsets } from '../membership/targetSubset.js';
import type { CallingHost, TargetSubsets } from '../membership/targetSubset.js';

/** Options of `createCallRouting`. */
export interface CallRoutingOptions {
  /** Calling host; its name and data centre determine its subset of targets. */
  caller: CallingHost;
  directory: Directory;
  configuration: () => Configuration | undefined;
  clock: Clock;
  random: RandomSource;
}

/** Target selection of a caller: target subsets, shed levels, and the router of attempts. */
export interface CallRouting {
  subsets: TargetSubsets;
  shedding: CallerShedding;
  router: TargetRouter;
}

/** Creates the call routing of a daemon or of an embedded caller. */
export function createCallRouting(options: CallRoutingOptions): CallRouting {
  const { caller, directory, configuration, clock, random } = options;
  const subsets = createTargetSubsets(caller, directory);
  const shedding = createCallerShedding(clock, random);
  const router = createTargetRouter({
    subsets,
    homes: createHomeLocator(directory),
    configuration,
    chooser: createTargetChooser({ clock, dataCentre: caller.dataCentre, random }),
    shedding,
  });
  return { subsets, shedding, router };
}
