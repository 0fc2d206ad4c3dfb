import type { Clock } from '../runtime/clock.js';
import { rendezvous } from '../runtime/hash.js';
import type { Directory, Member } from '../membership/member.js';
import { holderOf } from './shardRecord.js';
import type { Holder } from './shardRecord.js';

const AVOID_MS = 60_000;

function rank(subject: string, candidates: Member[]): Member[] {
  return rendezvous(subject, candidates, (member) => member.incarnation, candidates.length);
}

/** Chooses daemons of one service for shards. */
export class DeputyChoice {
  private readonly avoidedUntil = new Map<string, number>();

  constructor(
    private readonly self: Member,
    private readonly service: string,
    private readonly directory: Directory,
    private readonly clock: Clock,
  ) {}

  /** Leaves a daemon that did not answer out of the choice for a while. */
  avoid(incarnation: string): void {
    this.avoidedUntil.set(incarnation, this.clock.now() + AVOID_MS);
  }

  /** The deputy for a home: in another data centre where there is one, the same for all its shards. */
  deputyFor(home: Holder, excluded: string[]): Holder | null {
    const now = this.clock.now();
    const candidates = [...this.others(), this.self].filter(({ incarnation }) => {
      if (incarnation === home.incarnation || excluded.includes(incarnation)) return false;
      return (this.avoidedUntil.get(incarnation) ?? -Infinity) <= now;
    });
    const ranked = rank(home.incarnation, candidates);
    const dataCentre = this.dataCentreOf(home);
    const remote = ranked.find((member) => member.dataCentre !== dataCentre);
    const chosen = remote ?? ranked[0];
    return chosen ? holderOf(chosen) : null;
  }

  /** The daemons that may be home of a shard, best first; this one counts if its target takes work. */
  homesFor(shard: number, withoutSelf = false): Member[] {
    const selfCounts = !withoutSelf && this.selfServes();
    const candidates = selfCounts ? [...this.others(), this.self] : this.others();
    const subject = `${this.service}/${shard}`;
    return rank(subject, candidates);
  }

  /** Changes when the daemons that take work change. */
  signature(): string {
    const incarnations = this.others().map((member) => member.incarnation);
    return incarnations.sort().join();
  }

  private selfServes(): boolean {
    const { incarnation, state } = this.self;
    return (this.directory.memberOf(incarnation)?.state ?? state) === 'serving';
  }

  private others(): Member[] {
    const targets = this.directory.targetsOf(this.service);
    return targets.filter(({ incarnation }) => incarnation !== this.self.incarnation);
  }

  private dataCentreOf(home: Holder): string {
    if (home.incarnation === this.self.incarnation) return this.self.dataCentre;
    return this.directory.memberOf(home.incarnation)?.dataCentre ?? '';
  }
}
