import type { Clock } from '../runtime/clock.js';
import type { Member } from './member.js';
import type { RandomSource } from '../runtime/random.js';

/** How many calls in flight a target elsewhere must be ahead by before it is preferred. */
const REMOTE_PENALTY = 4;
/** How long a target that could not be reached is passed over, in milliseconds. */
const AVOID_MS = 1000;

/** Chooses targets by the number of calls that this process has in flight at them. */
export interface TargetChooser {
  /** A target among `targets`, if it can be one that was neither tried nor failed of late. */
  choose(targets: Member[], tried: ReadonlySet<string>): Member | undefined;
  begin(member: Member): void;
  end(member: Member): void;
  /** Passes the target over for a while, as long as there is another. */
  avoid(member: Member): void;
}

/** What a chooser needs. */
export interface TargetChooserOptions {
  clock: Clock;
  dataCentre: string;
  random: RandomSource;
}

/** Makes a chooser that compares two random targets and takes the less busy one. */
export function createTargetChooser(options: TargetChooserOptions): TargetChooser {
  const inFlight = new Map<string, number>();
  const avoidedUntil = new Map<string, number>();

  function costOf(member: Member): number {
    const distance = member.dataCentre === options.dataCentre ? 0 : REMOTE_PENALTY;
    return (inFlight.get(member.incarnation) ?? 0) + distance;
  }

  function isAvoided({ incarnation }: Member): boolean {
    const until = avoidedUntil.get(incarnation);
    if (until === undefined) return false;
    if (options.clock.now() < until) return true;
    avoidedUntil.delete(incarnation);
    return false;
  }

  /** The members that pass the test, or all when none does. */
  function preferring(members: Member[], test: (member: Member) => boolean): Member[] {
    const preferred = members.filter(test);
    return preferred.length > 0 ? preferred : members;
  }

  function pick(members: Member[]): Member | undefined {
    return members[Math.floor(options.random.next() * members.length)];
  }

  return {
    choose: (targets, tried) => {
      const untried = preferring(targets, (member) => !tried.has(member.incarnation));
      const candidates = preferring(untried, (member) => !isAvoided(member));
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
    avoid: (member) => {
      avoidedUntil.set(member.incarnation, options.clock.now() + AVOID_MS);
    },
  };
}
