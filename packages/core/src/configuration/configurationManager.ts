import { setMaxListeners } from 'node:events';
import type { Clock } from '../runtime/clock.js';
import type { Configuration } from './configuration.js';
import type { ConfigurationDelta, ConfigurationVersion } from './configurationDelta.js';
import { ConfigurationLog } from './configurationLog.js';
import { createConfigurationWatcher } from './configurationWatcher.js';
import type { Logger } from '../observability/logger.js';
import type { Membership } from '../membership/membership.js';
import { peerAddressOf } from '../membership/membershipContext.js';
import type { PeerAddress, PeerCaller, PeerMethods } from '../peers/peer.js';
import type { RandomSource } from '../runtime/random.js';
import type { Store } from '../store/store.js';

/** Names of the control methods that distribute the configuration. */
export const ConfigurationMethod = {
  push: 'configuration.push',
  pull: 'configuration.pull',
} as const;

/** Daemons to which a new revision is pushed, half of them in the same data centre. */
const PUSH_FANOUT = 4;

/** Timeout of a push, in milliseconds. */
const PUSH_TIMEOUT_MS = 1000;

/** Timeout of a pull, in milliseconds. */
const PULL_TIMEOUT_MS = 2000;

/** Peers that a starting daemon pulls from in one round, besides one of its own data centre. */
const STARTUP_PEERS = 3;

/** Time that a starting daemon waits for its first configuration, in milliseconds. */
const STARTUP_TIMEOUT_MS = 4000;

/** Delay between two rounds of pulls on start, in milliseconds. */
const STARTUP_RETRY_MS = 250;

interface PushRequest {
  from: PeerAddress;
  revision: number;
  /** The delta that led to `revision`; absent if the sender had no configuration before. */
  delta?: ConfigurationDelta;
}

interface PullResponse {
  steps?: ConfigurationDelta[];
  configuration?: Configuration;
}

/** Options of `createConfigurationManager`. */
export interface ConfigurationManagerOptions {
  membership: Membership;
  /** Absent in daemons without access to the store. */
  store?: Store;
  peers: PeerCaller;
  methods: PeerMethods;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
}

/** Keeps the configuration of one daemon up to date. Its revision never decreases. */
export interface ConfigurationManager {
  /** Pulls the configuration from peers; resolves when there is one, or after `STARTUP_TIMEOUT_MS`. */
  start(): Promise<void>;
  /** The configuration in force. */
  current(): Configuration | undefined;
  /** Calls `listener` with each new configuration; returns a function that stops it. */
  onChange(listener: (configuration: Configuration) => void): () => void;
  /** Whether the last read of the store succeeded; undefined if this daemon does not watch it. */
  isStoreReachable(): boolean | undefined;
  /** Ends all tasks. */
  stop(): void;
}

/** Creates the configuration manager of one daemon. */
export function createConfigurationManager(
  options: ConfigurationManagerOptions,
): ConfigurationManager {
  const { membership, peers, methods, clock, logger } = options;
  const log = new ConfigurationLog();
  const listeners = new Set<(configuration: Configuration) => void>();
  const stopping = new AbortController();
  setMaxListeners(0, stopping.signal);
  let isPulling = false;
  let pendingPeer: PeerAddress | undefined;

  function selectPushPeers(): PeerAddress[] {
    const { dataCentre } = membership.self();
    const near = membership.randomMembers(
      PUSH_FANOUT / 2,
      (member) => member.dataCentre === dataCentre,
    );
    const others = membership.randomMembers(PUSH_FANOUT - near.length);
    return [...new Set([...near, ...others])].map(peerAddressOf);
  }

  async function push(): Promise<void> {
    const { revision, lastDelta } = log;
    const from = peerAddressOf(membership.self());
    const request: PushRequest = { from, revision, ...(lastDelta && { delta: lastDelta }) };
    await Promise.all(
      selectPushPeers().map((to) =>
        peers.call(to, ConfigurationMethod.push, request, PUSH_TIMEOUT_MS),
      ),
    );
  }

  function notifyAndPush(): void {
    const { current } = log;
    if (!current || stopping.signal.aborted) return;
    logger.log('info', 'configuration in force', { revision: current.revision });
    listeners.forEach((listener) => listener(current));
    push().catch(() => undefined);
  }

  function adopt(configuration: Configuration): void {
    if (configuration.revision < log.revision) {
      logger.log('warn', 'older configuration ignored', {
        offered: configuration.revision,
        inForce: log.revision,
      });
    }
    if (log.replaceIfNewer(configuration)) notifyAndPush();
  }

  function applyPullResponse({ steps, configuration }: PullResponse): void {
    const applied = (steps ?? []).filter((step) => log.applyDelta(step));
    if (applied.length > 0) notifyAndPush();
    else if (configuration) adopt(configuration);
  }

  async function pullFrom(from: PeerAddress): Promise<void> {
    const response = await peers.call<PullResponse>(
      from,
      ConfigurationMethod.pull,
      log.version(),
      PULL_TIMEOUT_MS,
    );
    if (response.isOk() && !stopping.signal.aborted) applyPullResponse(response.value);
  }

  /** Runs one pull at a time; the last peer requested meanwhile is pulled from afterwards. */
  async function pull(from: PeerAddress): Promise<void> {
    pendingPeer = from;
    if (isPulling) return;
    isPulling = true;
    while (pendingPeer && !stopping.signal.aborted) {
      const next: PeerAddress = pendingPeer;
      pendingPeer = undefined;
      await pullFrom(next);
    }
    isPulling = false;
  }

  methods.register(ConfigurationMethod.push, async (params) => {
    const { from, revision, delta } = params as PushRequest;
    if (revision <= log.revision) return log.version();
    if (delta && log.applyDelta(delta)) notifyAndPush();
    else pull(from).catch(() => undefined);
    return log.version();
  });

  methods.register(ConfigurationMethod.pull, async (params): Promise<PullResponse> => {
    const known = params as ConfigurationVersion;
    if (!log.current || known.revision >= log.revision) return {};
    const steps = log.deltasFrom(known);
    return steps ? { steps } : { configuration: log.current };
  });

  membership.piggyback({
    name: 'configuration',
    value: () => log.revision,
    received: (from, revision) => {
      if (revision > log.revision) pull(from).catch(() => undefined);
    },
  });

  const watcher =
    options.store &&
    createConfigurationWatcher({
      ...options,
      store: options.store,
      stopped: stopping.signal,
      onConfiguration: adopt,
    });

  async function pullFromPeers(): Promise<void> {
    const { dataCentre } = membership.self();
    const near = membership.randomMembers(1, (member) => member.dataCentre === dataCentre);
    const selected = new Set([...near, ...membership.randomMembers(STARTUP_PEERS)]);
    await Promise.all([...selected].map((member) => pullFrom(peerAddressOf(member))));
  }

  async function pullUntilFound(): Promise<void> {
    const deadline = clock.now() + STARTUP_TIMEOUT_MS;
    for (;;) {
      await pullFromPeers();
      if (log.current || clock.now() + STARTUP_RETRY_MS > deadline) return;
      await clock.sleep(STARTUP_RETRY_MS, stopping.signal);
    }
  }

  return {
    start: async () => {
      watcher?.start();
      await pullUntilFound().catch(() => undefined);
      if (!log.current) logger.log('warn', 'no peer has a configuration yet');
    },
    current: () => log.current,
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    isStoreReachable: () => watcher?.isStoreReachable(),
    stop: () => {
      stopping.abort(new Error('the configuration manager has stopped'));
      watcher?.stop();
    },
  };
}
