import { createHash } from 'node:crypto';

const SCORE_BYTES = 6;

function scoreOf(subject: string, candidate: string): number {
  const digest = createHash('sha256').update(subject).update('\0').update(candidate).digest();
  return digest.readUIntBE(0, SCORE_BYTES);
}

/** The candidates from the most to the least preferred for `subject` (highest random weight). */
export function rankByRendezvous<T>(
  subject: string,
  candidates: T[],
  idOf: (candidate: T) => string,
): T[] {
  const scored = candidates.map((candidate) => ({
    candidate,
    score: scoreOf(subject, idOf(candidate)),
  }));
  scored.sort((left, right) => right.score - left.score);
  return scored.map(({ candidate }) => candidate);
}
