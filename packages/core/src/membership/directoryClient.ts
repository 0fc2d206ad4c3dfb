import type { Clock } from '../runtime/clock.js';
import type { Configuration } from '../configuration/configuration.js';
import { DIRECTORY_VIEW_METHOD } from './directoryView.js';
import type { DirectoryQuery, DirectoryView } from './directoryView.js';
import type { Logger } from '../observability/logger.js';
import type { Directory, Member } from './member.js';
import type { PeerAddress, PeerCaller } from '../peers/peer.js';
import type { RandomSource } from '../runtime/random.js';

/** Mean interval between view requests, in milliseconds. */
const REFRESH_INTERVAL_MS = 1000;
/** Timeout of a view request, in milliseconds. */
const VIEW_TIMEOUT_MS = 1000;

/** Options of `createDirectoryClient`. */
export interface DirectoryClientOptions {
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  peers: PeerCaller;
  /** Daemons to query first; daemons found in their views are queried as well. */
  bootstrap: PeerAddress[];
  /** Services whose targets are needed; all when empty. */
  services: string[];
}

/** Directory and configuration for a process that is not a member itself. */
export interface DirectoryClient extends Directory {
  configuration(): Configuration | undefined;
  /** Requests one view; resolves with whether a daemon responded. */
  refresh(): Promise<boolean>;
  /** Requests views at intervals until the signal is aborted. */
  run(signal: AbortSignal): Promise<void>;
}

/** Creates a directory that polls daemons for their view. */
export function createDirectoryClient(options: DirectoryClientOptions): DirectoryClient {
  const listeners = new Set<() => void>();
  let members: Member[] = [];
  let digest = '';
  let configuration: Configuration | undefined;

  function applyView(view: DirectoryView): void {
    if (view.configuration && view.configuration.revision > (configuration?.revision ?? 0)) {
      configuration = view.configuration;
    }
    if (!view.members) return;
    members = view.members;
    digest = view.digest;
    listeners.forEach((listener) => listener());
  }

  function pickPeer(): PeerAddress | undefined {
    const knownPeers = members.map((member) => ({
      address: member.address,
      port: member.peerPort,
    }));
    const candidates = [...options.bootstrap, ...knownPeers];
    return candidates[Math.floor(options.random.next() * candidates.length)];
  }

  async function refresh(): Promise<boolean> {
    const peer = pickPeer();
    if (!peer) return false;
    const query: DirectoryQuery = {
      services: options.services,
      digest,
      revision: configuration?.revision ?? 0,
    };
    const view = await options.peers.call<DirectoryView>(
      peer,
      DIRECTORY_VIEW_METHOD,
      query,
      VIEW_TIMEOUT_MS,
    );
    if (view.isOk()) applyView(view.value);
    else options.logger.log('warn', 'directory view request failed', { error: view.error.message });
    return view.isOk();
  }

  return {
    targetsOf: (service) => members.filter((member) => member.service === service),
    members: () => members,
    memberOf: (incarnation) => members.find((member) => member.incarnation === incarnation),
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    configuration: () => configuration,
    refresh,
    run: async (signal) => {
      while (!signal.aborted) {
        await refresh();
        const pause = REFRESH_INTERVAL_MS * (0.5 + options.random.next());
        await options.clock.sleep(pause, signal).catch(() => undefined);
      }
    },
  };
}
