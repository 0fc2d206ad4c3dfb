import type { Configuration } from '../configuration/configuration.js';
import { hashText } from '../runtime/hash.js';
import type { Directory, Member } from './member.js';
import type { PeerMethods } from '../peers/peer.js';

/** Control method by which embedded callers learn targets and configuration. */
export const DIRECTORY_VIEW_METHOD = 'directory.view';

/** What an embedded caller asks for. */
export interface DirectoryQuery {
  /** Services whose targets are wanted; all when empty. */
  services: string[];
  /** Digest of the members that the asker holds. */
  digest: string;
  /** Revision of the configuration that the asker holds. */
  revision: number;
}

/** What has changed since the asker's last view. */
export interface DirectoryView {
  digest: string;
  /** Absent when the asker's digest still holds. */
  members?: Member[];
  /** Absent when there is no higher revision than the asker's. */
  configuration?: Configuration;
}

/** A short text that differs when the members differ. */
export function digestOfMembers(members: Member[]): string {
  const lines = members.map((member) => `${member.incarnation}:${member.version}`).sort();
  return `${members.length}-${hashText(lines.join(' ')).toString(36)}`;
}

/** Answers views of the directory and the configuration to embedded callers. */
export function serveDirectoryViews(
  methods: PeerMethods,
  directory: Directory,
  configuration: () => Configuration | undefined,
): void {
  function wantedMembers(services: string[]): Member[] {
    const serving = directory.members().filter((member) => member.state === 'serving');
    if (services.length === 0) return serving;
    return serving.filter((member) => services.includes(member.service));
  }

  methods.register(DIRECTORY_VIEW_METHOD, async (params): Promise<DirectoryView> => {
    const query = params as DirectoryQuery;
    const members = wantedMembers(query.services);
    const view: DirectoryView = { digest: digestOfMembers(members) };
    if (view.digest !== query.digest) view.members = members;
    const current = configuration();
    if (current && current.revision > query.revision) view.configuration = current;
    return view;
  });
}
