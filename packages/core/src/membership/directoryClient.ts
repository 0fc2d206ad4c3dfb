import type { Clock } from '../runtime/clock.js';
import type { Configuration } from '../configuration/configuration.js';
import { DIRECTORY_VIEW_METHOD } from './directoryView.js';
import type { DirectoryQuery, DirectoryView } from './directoryView.js';
import type { Logger } from '../observability/logger.js';
import type { Directory, Member } from './member.js';
import type { PeerAddress, PeerCaller } from '../peers/peer.js';
import type { RandomSource } from '../runtime/random.js';

const REFRESH_INTERVAL_MS = 1000;
const VIEW_TIMEOUT_MS = 1000;

/** What a directory client needs. */
export interface DirectoryClientOptions {
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  peers: PeerCaller;
  /** Daemons that are asked; also those learnt from them. */
  bootstrap: PeerAddress[];
  /** Services that are called; all when empty. */
  services: string[];
}

/** The directory and configuration of a process that is no member itself. */
export interface DirectoryClient extends Directory {
  configuration(): Configuration | undefined;
  /** Asks once; resolves with whether a daemon answered. */
  refresh(): Promise<boolean>;
  /** Keeps asking until the signal is aborted. */
  run(signal: AbortSignal): Promise<void>;
}

/** Makes a directory that learns from daemons by asking at intervals. */
export function createDirectoryClient(options: DirectoryClientOptions): DirectoryClient {
  const listeners = new Set<() => void>();
  let members: Member[] = [];
  let digest = '';
  let configuration: Configuration | undefined;

  function adopt(view: DirectoryView): void {
    if (view.configuration && view.configuration.revision > (configuration?.revision ?? 0)) {
      configuration = view.configuration;
    }
    if (!view.members) return;
    members = view.members;
    digest = view.digest;
    listeners.forEach((listener) => listener());
  }

  function nextPeer(): PeerAddress | undefined {
    const learnt = members.map((member) => ({ address: member.address, port: member.peerPort }));
    const candidates = [...options.bootstrap, ...learnt];
    return candidates[Math.floor(options.random.next() * candidates.length)];
  }

  async function refresh(): Promise<boolean> {
    const peer = nextPeer();
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
    if (view.isOk()) adopt(view.value);
    else options.logger.log('warn', 'no view of the directory', { error: view.error.message });
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
