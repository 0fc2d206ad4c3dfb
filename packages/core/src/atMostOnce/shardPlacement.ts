import type { Clock } from '../runtime/clock.js';
import { rendezvous } from '../runtime/hash.js';
import type { Directory, Member } from '../membership/member.js';
import { daemonAddressOf } from './shardRecord.js';
import type { DaemonAddress } from './shardRecord.js';

/** How long an unresponsive daemon is not chosen as deputy. */
const AVOID_MS = 60_000;

function rank(key: string, candidates: Member[]): Member[] {
  return rendezvous(key, candidates, (member) => member.incarnation, candidates.length);
}

/** Chooses homes and deputies among the daemons of one service. */
export class ShardPlacement {
  private readonly avoidedUntil = new Map<string, number>();

  constructor(
    private readonly self: Member,
    private readonly service: string,
    private readonly directory: Directory,
    private readonly clock: Clock,
  ) {}

  /** Excludes an unresponsive daemon from the choice of deputies for `AVOID_MS`. */
  avoid(incarnation: string): void {
    this.avoidedUntil.set(incarnation, this.clock.now() + AVOID_MS);
  }

  /**
   * Chooses the deputy for a home: the same for all its shards, and in another data centre if a
   * candidate exists there. Null without a candidate.
   */
  deputyFor(home: DaemonAddress, excluded: string[]): DaemonAddress | null {
    const now = this.clock.now();
    const candidates = [...this.others(), this.self].filter(({ incarnation }) => {
      if (incarnation === home.incarnation || excluded.includes(incarnation)) return false;
      return (this.avoidedUntil.get(incarnation) ?? -Infinity) <= now;
    });
    const ranked = rank(home.incarnation, candidates);
    const dataCentre = this.dataCentreOf(home);
    const remote = ranked.find((member) => member.dataCentre !== dataCentre);
    const deputy = remote ?? ranked[0];
    return deputy ? daemonAddressOf(deputy) : null;
  }

  /**
   * Ranks the daemons that may be home of a shard; includes this one only while its target serves.
   */
  homeCandidatesFor(shard: number, excludeSelf = false): Member[] {
    const includeSelf = !excludeSelf && this.isSelfServing();
    const candidates = includeSelf ? [...this.others(), this.self] : this.others();
    const key = `${this.service}/${shard}`;
    return rank(key, candidates);
  }

  /** A text that differs when the set of other serving daemons has changed. */
  candidatesSignature(): string {
    const incarnations = this.others().map((member) => member.incarnation);
    return incarnations.sort().join();
  }

  private isSelfServing(): boolean {
    const { incarnation, state } = this.self;
    return (this.directory.memberOf(incarnation)?.state ?? state) === 'serving';
  }

  private others(): Member[] {
    const targets = this.directory.targetsOf(this.service);
    return targets.filter(({ incarnation }) => incarnation !== this.self.incarnation);
  }

  private dataCentreOf(home: DaemonAddress): string {
    if (home.incarnation === this.self.incarnation) return this.self.dataCentre;
    return this.directory.memberOf(home.incarnation)?.dataCentre ?? '';
  }
}
