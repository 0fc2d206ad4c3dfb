import { AimdLimit, GradientLimit, VegasLimit, createSeededRandom } from '@shallotcroft/core';
import { cac } from 'cac';
import { ControlledChain } from './controlledChain.js';
import { DaemonChain } from './daemonChain.js';
import { deepestServiceSlots, chainShape } from './overloadChain.js';
import type { Chain } from './overloadChain.js';
import { Load } from './overloadLoad.js';
import type { Phase } from './overloadLoad.js';
import { outcomeOf } from './overloadOutcome.js';
import type { OverloadOutcome } from './overloadOutcome.js';
import { printBars, printTable } from './overloadReport.js';
import { UncontrolledChain } from './uncontrolledChain.js';

/** Measures a chain of three services under overload, with and without overload control. */

const SEED = 20261204;
const NORMAL_SECONDS = 4;
const AFTER_SECONDS = 8;
/** Load during the trigger `surge`, in multiples of the capacity. */
const SURGE_FACTOR = 3;
/** Factor on the service time of the deepest service during the trigger `slow`. */
const SLOWDOWN_FACTOR = 10;
/** Normal load as a share of the capacity. */
const NORMAL_LOAD_SHARE = 0.5;
const triggers = ['surge', 'slow'] as const;
type Trigger = (typeof triggers)[number];

type ChainFactory = () => Promise<Chain>;

const inProcess: Record<string, ChainFactory> = {
  none: async () => new UncontrolledChain('none'),
  fixed: async () => new UncontrolledChain('fixed'),
  adaptive: async () => new ControlledChain('goodput'),
  adaptive_recovery: async () => new ControlledChain('recovery'),
  vegas: async () => new ControlledChain('goodput', (bounds) => new VegasLimit(bounds)),
  gradient: async () => new ControlledChain('goodput', (bounds) => new GradientLimit(bounds)),
  aimd: async () => new ControlledChain('goodput', (bounds) => new AimdLimit(bounds)),
};

/** Daemons enforce deadlines and the attempt allowance with every kind of limit, also `none`. */
const throughDaemons: Record<string, ChainFactory> = {
  none: () => DaemonChain.start('none', 'goodput'),
  fixed: () => DaemonChain.start('fixed', 'goodput'),
  adaptive: () => DaemonChain.start('adaptive', 'goodput'),
  adaptive_recovery: () => DaemonChain.start('adaptive', 'recovery'),
};

/** Requests per second that the deepest service can complete with all slots busy. */
function capacityAt(slowdownFactor: number): number {
  return (1000 * deepestServiceSlots) / (chainShape.workMs * slowdownFactor);
}

function phasesOf(chain: Chain, trigger: Trigger, seconds: number): Phase[] {
  const capacity = capacityAt(1);
  const normal = NORMAL_LOAD_SHARE * capacity;
  const isSurge = trigger === 'surge';
  return [
    { seconds: NORMAL_SECONDS, perSecond: normal },
    {
      seconds,
      perSecond: isSurge ? SURGE_FACTOR * capacity : normal,
      begin: () => chain.setSlowdown(isSurge ? 1 : SLOWDOWN_FACTOR),
    },
    { seconds: AFTER_SECONDS, perSecond: normal, begin: () => chain.setSlowdown(1) },
  ];
}

async function measure(
  create: ChainFactory,
  trigger: Trigger,
  seconds: number,
): Promise<OverloadOutcome> {
  const chain = await create();
  const load = new Load(chain, createSeededRandom(SEED));
  await load.run(phasesOf(chain, trigger, seconds));
  const executions = await chain.executions();
  await chain.close();
  const span = {
    startMs: NORMAL_SECONDS * 1000,
    endMs: (NORMAL_SECONDS + seconds) * 1000,
    capacity: capacityAt(trigger === 'surge' ? 1 : SLOWDOWN_FACTOR),
  };
  return outcomeOf(load.records, executions, span, span.endMs + AFTER_SECONDS * 1000);
}

interface Options {
  help?: boolean;
  seconds: number;
  ways: string;
  triggers: string;
  parts: string;
}

async function main(): Promise<void> {
  const cli = cac('measure:overload');
  cli.option('--seconds <seconds>', 'duration of the overload trigger', { default: 30 });
  cli.option('--ways <names>', 'variants to compare', {
    default: 'none,fixed,adaptive,adaptive_recovery',
  });
  cli.option('--triggers <names>', 'overload triggers: surge, slow', {
    default: triggers.join(','),
  });
  cli.option('--parts <parts>', 'in-process or daemons', { default: 'daemons' });
  cli.help();
  const options = cli.parse().options as Options;
  if (options.help) return;
  const seconds = Number(options.seconds);
  const variantNames = options.ways.split(',');
  const variants = options.parts === 'daemons' ? throughDaemons : inProcess;
  console.log(
    `${options.parts}: capacity ${capacityAt(1)} (slow: ${capacityAt(SLOWDOWN_FACTOR)}) requests/s, trigger ${seconds} s, seed ${SEED}`,
  );
  const results: Record<string, Record<string, OverloadOutcome>> = {};
  for (const trigger of triggers.filter((name) => options.triggers.includes(name))) {
    const outcomes: Record<string, OverloadOutcome> = {};
    for (const variant of variantNames) {
      const create: ChainFactory | undefined = variants[variant];
      if (!create) {
        throw new Error(
          `unknown variant ${variant}; give some of ${Object.keys(variants).join(',')}`,
        );
      }
      outcomes[variant] = await measure(create, trigger, seconds);
    }
    printTable(trigger, outcomes);
    printBars(outcomes);
    results[trigger] = outcomes;
  }
  console.log(JSON.stringify(results));
}

await main();
process.exit(0);
