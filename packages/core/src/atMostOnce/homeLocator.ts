import type { Directory, Member } from '../membership/member.js';

interface MemberClaim {
  member: Member;
  revision: number;
}

/** Finds the daemon that is home of a shard. */
export interface HomeLocator {
  /** The home; undefined when none is known or the last known home is gone. */
  homeOf(service: string, shard: number): Member | undefined;
  /** Unsubscribes from the directory. */
  close(): void;
}

function indexClaims(directory: Directory): Map<string, MemberClaim> {
  const claims = new Map<string, MemberClaim>();
  directory.members().forEach((member) => {
    member.homes.forEach(({ shard, revision }) => {
      const name = `${member.service}/${shard}`;
      const newest = claims.get(name);
      if (!newest || revision > newest.revision) claims.set(name, { member, revision });
    });
  });
  return claims;
}

/** Locates homes by the claims of the members; the claim with the highest revision wins. */
export function createHomeLocator(directory: Directory): HomeLocator {
  let claims: Map<string, MemberClaim> | undefined;
  const unsubscribe = directory.onChange(() => {
    claims = undefined;
  });
  return {
    homeOf: (service, shard) => {
      claims ??= indexClaims(directory);
      const member = claims.get(`${service}/${shard}`)?.member;
      // Claims with lower revisions are outdated: those members are no longer home.
      return member?.state === 'gone' ? undefined : member;
    },
    close: unsubscribe,
  };
}
