import { createMachine, interpret, state, transition } from 'robot3';
import type { TargetState } from './member.js';

/** What can happen to a target. */
export type TargetEvent = 'ready' | 'drain' | 'lost';

/** Lifecycle of the target beside a daemon. */
export interface TargetLifecycle {
  state(): TargetState;
  /** Takes the event if the state allows it; returns whether the state changed. */
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
  // A target that was lost may announce itself again; one that drains is not called back.
  gone: state(transition('ready', 'serving')),
});

/** Makes the lifecycle of a target that has not announced itself yet. */
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
