import { AimdLimit, GradientLimit, VegasLimit, createSeededRandom } from '@shallotcroft/core';
import { cac } from 'cac';
import { ControlledChain } from './controlledChain.js';
import { DaemonChain } from './daemonChain.js';
import { deepSlots, chainShape } from './overloadChain.js';
import type { Chain } from './overloadChain.js';
import { Load } from './overloadLoad.js';
import type { Phase } from './overloadLoad.js';
import { outcomeOf } from './overloadOutcome.js';
import type { OverloadOutcome } from './overloadOutcome.js';
import { printBars, printTable } from './overloadReport.js';
import { UncontrolledChain } from './uncontrolledChain.js';

/** Measures a chain of three services under overload, with and without control. */

const SEED = 20261204;
const NORMAL_SECONDS = 4;
const AFTER_SECONDS = 8;
const SURGE = 3;
const SLOWNESS = 10;
const NORMAL_SHARE = 0.5;
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

/** Through daemons, deadlines and the allowance of attempts hold whatever the limit is. */
const throughDaemons: Record<string, ChainFactory> = {
  none: () => DaemonChain.start('none', 'goodput'),
  fixed: () => DaemonChain.start('fixed', 'goodput'),
  adaptive: () => DaemonChain.start('adaptive', 'goodput'),
  adaptive_recovery: () => DaemonChain.start('adaptive', 'recovery'),
};

/** Whole requests a second that the deepest service can answer when its workers never rest. */
function capacityAt(slowness: number): number {
  return (1000 * deepSlots) / (chainShape.workMs * slowness);
}

function phasesOf(chain: Chain, trigger: Trigger, seconds: number): Phase[] {
  const capacity = capacityAt(1);
  const normal = NORMAL_SHARE * capacity;
  const surge = trigger === 'surge';
  return [
    { seconds: NORMAL_SECONDS, perSecond: normal },
    {
      seconds,
      perSecond: surge ? SURGE * capacity : normal,
      begin: () => chain.slowDown(surge ? 1 : SLOWNESS),
    },
    { seconds: AFTER_SECONDS, perSecond: normal, begin: () => chain.slowDown(1) },
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
    capacity: capacityAt(trigger === 'surge' ? 1 : SLOWNESS),
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
  cli.option('--seconds <seconds>', 'length of the trigger', { default: 30 });
  cli.option('--ways <names>', 'ways to compare', {
    default: 'none,fixed,adaptive,adaptive_recovery',
  });
  cli.option('--triggers <names>', 'triggers', { default: triggers.join(',') });
  cli.option('--parts <parts>', 'in-process or daemons', { default: 'daemons' });
  cli.help();
  const options = cli.parse().options as Options;
  if (options.help) return;
  const seconds = Number(options.seconds);
  const wayNames = options.ways.split(',');
  const ways = options.parts === 'daemons' ? throughDaemons : inProcess;
  console.log(
    `${options.parts}: capacity ${capacityAt(1)} (slow: ${capacityAt(SLOWNESS)}) whole requests/s, trigger ${seconds} s, seed ${SEED}`,
  );
  const results: Record<string, Record<string, OverloadOutcome>> = {};
  for (const trigger of triggers.filter((name) => options.triggers.includes(name))) {
    const outcomes: Record<string, OverloadOutcome> = {};
    for (const way of wayNames) {
      const create: ChainFactory | undefined = ways[way];
      if (!create) {
        throw new Error(`unknown way ${way}; take some of ${Object.keys(ways).join(',')}`);
      }
      outcomes[way] = await measure(create, trigger, seconds);
    }
    printTable(trigger, outcomes);
    printBars(outcomes);
    results[trigger] = outcomes;
  }
  console.log(JSON.stringify(results));
}

await main();
process.exit(0);
