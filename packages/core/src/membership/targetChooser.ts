import type { Clock } from '../runtime/clock.js';
import type { Member } from './member.js';
import type { RandomSource } from '../runtime/random.js';

/** Calls in flight added to the cost of a target in another data centre. */
const REMOTE_PENALTY_CALLS = 4;

/** How long an unreachable target is avoided, in milliseconds. */
const AVOIDANCE_MS = 1000;

/** Balances load by the number of calls that this process has in flight at each target. */
export interface TargetChooser {
  /** Chooses one of `targets`; prefers those that were neither tried nor recently unreachable. */
  choose(targets: Member[], tried: ReadonlySet<string>): Member | undefined;
  /** Counts a call sent to the target. */
  begin(member: Member): void;
  /** Counts the end of a call. */
  end(member: Member): void;
  /** Avoids the target for `AVOIDANCE_MS`, as long as there is another. */
  avoid(member: Member): void;
}

/** Options of `createTargetChooser`. */
export interface TargetChooserOptions {
  clock: Clock;
  dataCentre: string;
  random: RandomSource;
}

/** Creates a chooser that takes the better of two random targets (power of two choices). */
export function createTargetChooser(options: TargetChooserOptions): TargetChooser {
  const inFlight = new Map<string, number>();
  const avoidedUntil = new Map<string, number>();

  function costOf(member: Member): number {
    const penalty = member.dataCentre === options.dataCentre ? 0 : REMOTE_PENALTY_CALLS;
    return (inFlight.get(member.incarnation) ?? 0) + penalty;
  }

  function isAvoided({ incarnation }: Member): boolean {
    const until = avoidedUntil.get(incarnation);
    if (until === undefined) return false;
    if (options.clock.now() < until) return true;
    avoidedUntil.delete(incarnation);
    return false;
  }

  /** The members that satisfy `test`, or all members if none does. */
  function filterOrAll(members: Member[], test: (member: Member) => boolean): Member[] {
    const preferred = members.filter(test);
    return preferred.length > 0 ? preferred : members;
  }

  function pickRandom(members: Member[]): Member | undefined {
    return members[Math.floor(options.random.next() * members.length)];
  }

  return {
    choose: (targets, tried) => {
      const untried = filterOrAll(targets, (member) => !tried.has(member.incarnation));
      const candidates = filterOrAll(untried, (member) => !isAvoided(member));
      const first = pickRandom(candidates);
      const second = pickRandom(candidates);
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
      avoidedUntil.set(member.incarnation, options.clock.now() + AVOIDANCE_MS);
    },
  };
}
