const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** 32-bit hash of a text (FNV-1a with the MurmurHash3 finalizer); equal on every host. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Rendezvous hashing score of `candidate` for `chooser`; the highest scores are selected. */
export function rendezvousScore(chooser: string, candidate: string): number {
  return hashText(`${chooser}|${candidate}`);
}

/** Selects the `count` candidates with the highest scores for `chooser`, highest first. */
export function rendezvous<T>(
  chooser: string,
  candidates: T[],
  keyOf: (candidate: T) => string,
  count: number,
): T[] {
  const scored = candidates.map((candidate) => {
    const key = keyOf(candidate);
    return { candidate, key, score: rendezvousScore(chooser, key) };
  });
  scored.sort((a, b) => b.score - a.score || (a.key < b.key ? -1 : 1));
  return scored.slice(0, count).map((entry) => entry.candidate);
}
