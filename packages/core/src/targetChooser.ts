import type { Member } from './member.js';
import type { RandomSource } from './random.js';

/** How many calls in flight a target elsewhere must be ahead by before it is preferred. */
const REMOTE_PENALTY = 4;

/** Chooses targets by the number of calls that this process has in flight at them. */
export interface TargetChooser {
  /** A target among `targets` that is not among `tried` if there is one, else any. */
  choose(targets: Member[], tried: ReadonlySet<string>): Member | undefined;
  begin(member: Member): void;
  end(member: Member): void;
}

/** What a chooser needs. */
export interface TargetChooserOptions {
  dataCentre: string;
  random: RandomSource;
}

/** Makes a chooser that compares two random targets and takes the less busy one. */
export function createTargetChooser(options: TargetChooserOptions): TargetChooser {
  const inFlight = new Map<string, number>();

  function costOf(member: Member): number {
    const distance = member.dataCentre === options.dataCentre ? 0 : REMOTE_PENALTY;
    return (inFlight.get(member.incarnation) ?? 0) + distance;
  }

  function pick(members: Member[]): Member | undefined {
    return members[Math.floor(options.random.next() * members.length)];
  }

  return {
    choose: (targets, tried) => {
      const untried = targets.filter((member) => !tried.has(member.incarnation));
      const candidates = untried.length > 0 ? untried : targets;
      const first = pick(candidates);
      const second = pick(candidates);
      if (!first || !second) return undefined;
      return costOf(first) <= costOf(second) ? first : second;
    },
    begin: (member) => {
      inFlight.set(member.incarnation, (inFlight.get(member.incarnation) ?? 0) + 1);
    },
    end: (member) => {
      const left = (inFlight.get(member.incarnation) ?? 1) - 1;
      if (left > 0) inFlight.set(member.incarnation, left);
      else inFlight.delete(member.incarnation);
    },
  };
}
