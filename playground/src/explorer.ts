import type { RandomSource } from '@shallotcroft/core';

/** One thing that may happen next. */
export interface Step {
  name: string;
  take(): void;
}

/** A system whose every next step is chosen from outside. */
export interface ExplorableSystem {
  /** The steps that are possible now, in a fixed order. */
  steps(): Step[];
  /** Lets everything happen that follows from the last step. */
  settle(): Promise<void>;
  /** Equal for two states that cannot be told apart. */
  fingerprint(): string;
  /** What must hold and does not. */
  violation(): string | undefined;
}

/** What an exploration found. */
export interface Exploration {
  states: number;
  /** True when every state to the depth was visited. */
  exhausted: boolean;
  violation: { text: string; trace: string[] } | undefined;
}

/** How far to explore. */
export interface ExplorerLimits {
  depth: number;
  maxStates: number;
}

async function replay(create: () => ExplorableSystem, trace: string[]): Promise<ExplorableSystem> {
  const system = create();
  await system.settle();
  for (const name of trace) {
    system
      .steps()
      .find((step) => step.name === name)
      ?.take();
    await system.settle();
  }
  return system;
}

async function visitAll(
  create: () => ExplorableSystem,
  limits: ExplorerLimits,
): Promise<Exploration> {
  const seen = new Set<string>();
  let frontier: string[][] = [[]];
  for (let depth = 0; depth <= limits.depth && frontier.length > 0; depth++) {
    const next: string[][] = [];
    for (const trace of frontier) {
      const system = await replay(create, trace);
      const text = system.violation();
      if (text) return { states: seen.size, exhausted: false, violation: { text, trace } };
      const fingerprint = system.fingerprint();
      if (seen.has(fingerprint)) continue;
      seen.add(fingerprint);
      if (seen.size >= limits.maxStates) {
        return { states: seen.size, exhausted: false, violation: undefined };
      }
      if (depth < limits.depth) system.steps().forEach(({ name }) => next.push([...trace, name]));
    }
    frontier = next;
  }
  return { states: seen.size, exhausted: true, violation: undefined };
}

/** Visits every state within `limits`, breadth first, until one violates what must hold. */
export async function explore(
  create: () => ExplorableSystem,
  limits: ExplorerLimits,
): Promise<Exploration> {
  const { stackTraceLimit } = Error;
  // Each failure is an error with a stack, which costs more than all the rest.
  Error.stackTraceLimit = 0;
  try {
    return await visitAll(create, limits);
  } finally {
    Error.stackTraceLimit = stackTraceLimit;
  }
}

/** Takes random steps to the end of each of `walks` walks; finds what lies deeper than `explore` goes. */
export async function walkRandomly(
  create: () => ExplorableSystem,
  random: RandomSource,
  walks: number,
  length: number,
): Promise<Exploration> {
  const seen = new Set<string>();
  for (let walk = 0; walk < walks; walk++) {
    const trace: string[] = [];
    const system = create();
    await system.settle();
    for (let taken = 0; taken < length && !system.violation(); taken++) {
      const steps = system.steps();
      const step = steps[Math.floor(random.next() * steps.length)];
      if (!step) break;
      trace.push(step.name);
      step.take();
      await system.settle();
      seen.add(system.fingerprint());
    }
    const text = system.violation();
    if (text) return { states: seen.size, exhausted: false, violation: { text, trace } };
  }
  return { states: seen.size, exhausted: false, violation: undefined };
}
