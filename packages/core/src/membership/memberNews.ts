import type { Member } from './member.js';

/** Version of an incarnation that is gone for good: nothing its owner says can be newer. */
export const FINAL_VERSION = Number.MAX_SAFE_INTEGER;

/** The record of an incarnation as its owner wrote it. */
export interface AliveNews {
  kind: 'alive';
  member: Member;
}

/**
 * An incarnation has left, was replaced, or did not answer.
 * Only the owner can overrule it, by a record with a higher version.
 */
export interface GoneNews {
  kind: 'gone';
  incarnation: string;
  version: number;
  /** Time since it was found gone, in milliseconds. */
  ageMs: number;
}

/** What daemons tell each other about one incarnation. */
export type MemberNews = AliveNews | GoneNews;

/** Incarnation that a piece of news is about. */
export function incarnationOf(news: MemberNews): string {
  return news.kind === 'alive' ? news.member.incarnation : news.incarnation;
}

/** Version that a piece of news speaks of. */
export function versionOf(news: MemberNews): number {
  return news.kind === 'alive' ? news.member.version : news.version;
}

/** True when the news can be stored; news of another release may not be. */
export function isUsable(news: MemberNews): boolean {
  if (news.kind !== 'alive' && news.kind !== 'gone') return false;
  const version = versionOf(news);
  if (!Number.isSafeInteger(version) || version < 0) return false;
  if (news.kind === 'alive' && version === FINAL_VERSION) return false;
  return typeof incarnationOf(news) === 'string';
}
