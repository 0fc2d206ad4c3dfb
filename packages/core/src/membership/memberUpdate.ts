import type { Member } from './member.js';

/** Version of an incarnation that is gone for good: nothing its owner says can be newer. */
export const FINAL_VERSION = Number.MAX_SAFE_INTEGER;

/** The record of an incarnation as its owner wrote it. */
export interface AliveUpdate {
  kind: 'alive';
  member: Member;
}

/**
 * An incarnation has left, was replaced, or did not answer.
 * Only the owner can overrule it, by a record with a higher version.
 */
export interface GoneUpdate {
  kind: 'gone';
  incarnation: string;
  version: number;
  /** Time since it was found gone, in milliseconds. */
  ageMs: number;
}

/** What daemons tell each other about one incarnation. */
export type MemberUpdate = AliveUpdate | GoneUpdate;

/** Incarnation that a piece of news is about. */
export function incarnationOf(update: MemberUpdate): string {
  return update.kind === 'alive' ? update.member.incarnation : update.incarnation;
}

/** Version that a piece of news speaks of. */
export function versionOf(update: MemberUpdate): number {
  return update.kind === 'alive' ? update.member.version : update.version;
}

/** True when the news can be stored; news of another release may not be. */
export function isUsable(update: MemberUpdate): boolean {
  if (update.kind !== 'alive' && update.kind !== 'gone') return false;
  const version = versionOf(update);
  if (!Number.isSafeInteger(version) || version < 0) return false;
  if (update.kind === 'alive' && version === FINAL_VERSION) return false;
  return typeof incarnationOf(update) === 'string';
}
