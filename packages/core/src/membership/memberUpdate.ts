import type { Member } from './member.js';

/** Version of an incarnation that is permanently gone: no record of its daemon can be newer. */
export const FINAL_VERSION = Number.MAX_SAFE_INTEGER;

/** The record that the daemon of an incarnation published. */
export interface AliveUpdate {
  kind: 'alive';
  member: Member;
}

/**
 * An incarnation has left, was replaced, or did not respond.
 * Only its own daemon can overrule it, with a record of a higher version.
 */
export interface GoneUpdate {
  kind: 'gone';
  incarnation: string;
  version: number;
  /** Time since it was declared gone, in milliseconds. */
  ageMs: number;
}

/** Information about one incarnation, sent between daemons. */
export type MemberUpdate = AliveUpdate | GoneUpdate;

/** Incarnation that an update is about. */
export function incarnationOf(update: MemberUpdate): string {
  return update.kind === 'alive' ? update.member.incarnation : update.incarnation;
}

/** Version of the record that an update is about. */
export function versionOf(update: MemberUpdate): number {
  return update.kind === 'alive' ? update.member.version : update.version;
}

/** Returns whether an update can be stored; updates of another release may be invalid. */
export function isValid(update: MemberUpdate): boolean {
  if (update.kind !== 'alive' && update.kind !== 'gone') return false;
  const version = versionOf(update);
  if (!Number.isSafeInteger(version) || version < 0) return false;
  if (update.kind === 'alive' && version === FINAL_VERSION) return false;
  return typeof incarnationOf(update) === 'string';
}
