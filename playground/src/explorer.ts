import type { RandomSource } from '@shallotcroft/core';

/** A possible next event. */
export interface Step {
  name: string;
  take(): void;
}

/** A system whose order of events is chosen by the explorer. */
export interface ExplorableSystem {
  /** The steps that are possible in the present state, in a fixed order. */
  steps(): Step[];
  /** Runs everything that follows from the last step. */
  settle(): Promise<void>;
  /** A text that is equal for two states that cannot be distinguished. */
  fingerprint(): string;
  /** Describes the violated invariant, if any. */
  violation(): string | undefined;
}

/** Result of an exploration. */
export interface Exploration {
  states: number;
  /** True when every state down to the depth limit was visited. */
  exhausted: boolean;
  /** The violated invariant, and the names of the steps that lead to it. */
  violation: { text: string; trace: string[] } | undefined;
}

/** Limits of an exploration. */
export interface ExplorerLimits {
  depth: number;
  maxStates: number;
}

async function replay(create: () => ExplorableSystem, steps: string[]): Promise<ExplorableSystem> {
  const system = create();
  await system.settle();
  for (const name of steps) {
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
  const visited = new Set<string>();
  let frontier: string[][] = [[]];
  for (let depth = 0; depth <= limits.depth && frontier.length > 0; depth++) {
    const next: string[][] = [];
    for (const trace of frontier) {
      const system = await replay(create, trace);
      const text = system.violation();
      if (text) return { states: visited.size, exhausted: false, violation: { text, trace } };
      const fingerprint = system.fingerprint();
      if (visited.has(fingerprint)) continue;
      visited.add(fingerprint);
      if (visited.size >= limits.maxStates) {
        return { states: visited.size, exhausted: false, violation: undefined };
      }
      if (depth < limits.depth) system.steps().forEach(({ name }) => next.push([...trace, name]));
    }
    frontier = next;
  }
  return { states: visited.size, exhausted: true, violation: undefined };
}

/** Visits every state within `limits`, breadth first, until a state violates an invariant. */
export async function explore(
  create: () => ExplorableSystem,
  limits: ExplorerLimits,
): Promise<Exploration> {
  const { stackTraceLimit } = Error;
  // Failures are errors; capturing their stacks would take most of the time.
  Error.stackTraceLimit = 0;
  try {
    return await visitAll(create, limits);
  } finally {
    Error.stackTraceLimit = stackTraceLimit;
  }
}

/** Takes `walks` random walks of `length` steps, which reach states deeper than `explore` can. */
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
