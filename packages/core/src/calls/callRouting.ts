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

/** What routing is made from. */
export interface CallRoutingOptions {
  /** The host that calls; its targets are chosen by its name and data centre. */
  caller: CallingHost;
  directory: Directory;
  configuration: () => Configuration | undefined;
  clock: Clock;
  random: RandomSource;
}

/** The caller's view of targets: which it may use, what they shed, and where an attempt goes. */
export interface CallRouting {
  subsets: TargetSubsets;
  shedding: CallerShedding;
  router: TargetRouter;
}

/** Makes the routing of a daemon or of an embedded caller. */
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
