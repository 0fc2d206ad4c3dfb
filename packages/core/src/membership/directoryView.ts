import type { Configuration } from '../configuration/configuration.js';
import { hashText } from '../runtime/hash.js';
import type { Directory, Member } from './member.js';
import type { PeerMethods } from '../peers/peer.js';

/** Control method that returns targets and configuration to embedded callers. */
export const DIRECTORY_VIEW_METHOD = 'directory.view';

/** Request of an embedded caller for a view. */
export interface DirectoryQuery {
  /** Services whose targets are wanted; all when empty. */
  services: string[];
  /** Digest of the members that the caller holds. */
  digest: string;
  /** Revision of the configuration that the caller holds. */
  revision: number;
}

/** What changed since the last view of the caller. */
export interface DirectoryView {
  digest: string;
  /** Absent when the digest is unchanged. */
  members?: Member[];
  /** Absent when the caller holds the current revision. */
  configuration?: Configuration;
}

/** Digest of incarnations and versions; changes when the members change. */
export function digestOfMembers(members: Member[]): string {
  const lines = members.map((member) => `${member.incarnation}:${member.version}`).sort();
  return `${members.length}-${hashText(lines.join(' ')).toString(36)}`;
}

/** Registers the method that returns directory views to embedded callers. */
export function serveDirectoryViews(
  methods: PeerMethods,
  directory: Directory,
  configuration: () => Configuration | undefined,
): void {
  function selectMembers(services: string[]): Member[] {
    const serving = directory.members().filter((member) => member.state === 'serving');
    if (services.length === 0) return serving;
    return serving.filter((member) => services.includes(member.service));
  }

  methods.register(DIRECTORY_VIEW_METHOD, async (params): Promise<DirectoryView> => {
    const query = params as DirectoryQuery;
    const members = selectMembers(query.services);
    const view: DirectoryView = { digest: digestOfMembers(members) };
    if (view.digest !== query.digest) view.members = members;
    const current = configuration();
    if (current && current.revision > query.revision) view.configuration = current;
    return view;
  });
}
