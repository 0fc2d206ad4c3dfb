import { createMachine, interpret, state, transition } from 'robot3';
import type { TargetState } from './member.js';

/** Event in the lifecycle of a target. */
export type TargetEvent = 'ready' | 'drain' | 'lost';

/** Lifecycle of the target of a daemon. */
export interface TargetLifecycle {
  state(): TargetState;
  /** Applies the event if the state allows it; returns whether the state changed. */
  send(event: TargetEvent): boolean;
}

const machine = createMachine('starting', {
  starting: state(
    transition('ready', 'serving'),
    transition('drain', 'draining'),
    transition('lost', 'gone'),
  ),
  serving: state(transition('drain', 'draining'), transition('lost', 'gone')),
  draining: state(transition('lost', 'gone')),
  // A lost target may announce itself again; a draining target drains until it is lost.
  gone: state(transition('ready', 'serving')),
});

/** Creates the lifecycle of a target that has not announced itself yet. */
export function createTargetLifecycle(): TargetLifecycle {
  const service = interpret(machine, () => undefined);
  const current = (): TargetState => service.machine.current as TargetState;
  return {
    state: current,
    send: (event) => {
      const before = current();
      service.send(event);
      return current() !== before;
    },
  };
}
