import type { Directory, Member } from '../membership/member.js';

interface Claimed {
  member: Member;
  revision: number;
}

/** Finds the daemon that is home of a shard. */
export interface HomeLocator {
  /** The home, or undefined when none is known or the last known one has gone. */
  homeOf(service: string, shard: number): Member | undefined;
  /** Stops following the directory. */
  close(): void;
}

function indexClaims(directory: Directory): Map<string, Claimed> {
  const claims = new Map<string, Claimed>();
  directory.members().forEach((member) => {
    member.homes.forEach(({ shard, revision }) => {
      const name = `${member.service}/${shard}`;
      const known = claims.get(name);
      if (!known || revision > known.revision) claims.set(name, { member, revision });
    });
  });
  return claims;
}

/** Locates homes by the claims of the members; the highest revision counts. */
export function createHomeLocator(directory: Directory): HomeLocator {
  let claims: Map<string, Claimed> | undefined;
  const unsubscribe = directory.onChange(() => {
    claims = undefined;
  });
  return {
    homeOf: (service, shard) => {
      claims ??= indexClaims(directory);
      const member = claims.get(`${service}/${shard}`)?.member;
      // A lower claim is an older one: its owner is not home any more.
      return member?.state === 'gone' ? undefined : member;
    },
    close: unsubscribe,
  };
}
