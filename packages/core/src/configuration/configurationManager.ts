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

/** Names of the control methods that spread the configuration. */
export const ConfigurationMethod = {
  push: 'configuration.push',
  pull: 'configuration.pull',
} as const;

/** Daemons to which a new revision is pushed at once, half of them in the own data centre. */
const PUSH_COUNT = 4;

/** How long a push may take, in milliseconds. */
const PUSH_TIMEOUT_MS = 1000;

/** How long the answer to a pull may take, in milliseconds. */
const PULL_TIMEOUT_MS = 2000;

/** Peers that a starting daemon asks at once. */
const START_PEERS = 3;

/** Longest wait of a starting daemon for its first configuration, in milliseconds. */
const START_WAIT_MS = 4000;

/** Pause between two rounds of asking on start, in milliseconds. */
const START_PAUSE_MS = 250;

interface PushRequest {
  from: PeerAddress;
  revision: number;
  /** The step that led to it; absent at a daemon that had none before. */
  delta?: ConfigurationDelta;
}

interface PullAnswer {
  steps?: ConfigurationDelta[];
  configuration?: Configuration;
}

/** What a configuration keeper is made of. */
export interface ConfigurationManagerOptions {
  membership: Membership;
  /** Absent in daemons that have no way to the store. */
  store?: Store;
  peers: PeerCaller;
  methods: PeerMethods;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
}

/** Keeps the accepted configuration in force at one daemon. Its revision never goes back. */
export interface ConfigurationManager {
  /** Takes the highest revision that peers hold; resolves when it has one or after a bounded wait. */
  start(): Promise<void>;
  /** The configuration in force. */
  current(): Configuration | undefined;
  /** Calls `listener` with each new configuration; returns a function that stops it. */
  onChange(listener: (configuration: Configuration) => void): () => void;
  /** Whether the store answered the last time; undefined when this daemon does not watch it. */
  storeReachable(): boolean | undefined;
  /** Ends all tasks. */
  stop(): void;
}

/** Makes the configuration keeper of one daemon. */
export function createConfigurationManager(
  options: ConfigurationManagerOptions,
): ConfigurationManager {
  const { membership, peers, methods, clock, logger } = options;
  const log = new ConfigurationLog();
  const listeners = new Set<(configuration: Configuration) => void>();
  const stopping = new AbortController();
  setMaxListeners(0, stopping.signal);
  let pulling = false;
  let heardFrom: PeerAddress | undefined;

  function pushTargets(): PeerAddress[] {
    const { dataCentre } = membership.self();
    const near = membership.others(PUSH_COUNT / 2, (member) => member.dataCentre === dataCentre);
    const others = membership.others(PUSH_COUNT - near.length);
    return [...new Set([...near, ...others])].map(peerAddressOf);
  }

  async function push(): Promise<void> {
    const { revision, lastDelta } = log;
    const from = peerAddressOf(membership.self());
    const request: PushRequest = { from, revision, ...(lastDelta && { delta: lastDelta }) };
    await Promise.all(
      pushTargets().map((to) => peers.call(to, ConfigurationMethod.push, request, PUSH_TIMEOUT_MS)),
    );
  }

  function announce(): void {
    const { current } = log;
    if (!current || stopping.signal.aborted) return;
    logger.log('info', 'configuration in force', { revision: current.revision });
    listeners.forEach((listener) => listener(current));
    push().catch(() => undefined);
  }

  function moveTo(configuration: Configuration): void {
    if (configuration.revision < log.revision) {
      logger.log('warn', 'an older configuration was offered and is not taken', {
        offered: configuration.revision,
        inForce: log.revision,
      });
    }
    if (log.moveTo(configuration)) announce();
  }

  function takeAnswer({ steps, configuration }: PullAnswer): void {
    const taken = (steps ?? []).filter((step) => log.take(step));
    if (taken.length > 0) announce();
    else if (configuration) moveTo(configuration);
  }

  async function pullOnce(from: PeerAddress): Promise<void> {
    const answer = await peers.call<PullAnswer>(
      from,
      ConfigurationMethod.pull,
      log.version(),
      PULL_TIMEOUT_MS,
    );
    if (answer.isOk() && !stopping.signal.aborted) takeAnswer(answer.value);
  }

  /** One pull at a time; what was heard of meanwhile is asked for after. */
  async function pull(from: PeerAddress): Promise<void> {
    heardFrom = from;
    if (pulling) return;
    pulling = true;
    while (heardFrom && !stopping.signal.aborted) {
      const next: PeerAddress = heardFrom;
      heardFrom = undefined;
      await pullOnce(next);
    }
    pulling = false;
  }

  methods.register(ConfigurationMethod.push, async (params) => {
    const { from, revision, delta } = params as PushRequest;
    if (revision <= log.revision) return log.version();
    if (delta && log.take(delta)) announce();
    else pull(from).catch(() => undefined);
    return log.version();
  });

  methods.register(ConfigurationMethod.pull, async (params): Promise<PullAnswer> => {
    const asked = params as ConfigurationVersion;
    if (!log.current || asked.revision >= log.revision) return {};
    const steps = log.stepsFrom(asked);
    return steps ? { steps } : { configuration: log.current };
  });

  membership.carry({
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
      onConfiguration: moveTo,
    });

  async function askPeers(): Promise<void> {
    const { dataCentre } = membership.self();
    const near = membership.others(1, (member) => member.dataCentre === dataCentre);
    const asked = new Set([...near, ...membership.others(START_PEERS)]);
    await Promise.all([...asked].map((member) => pullOnce(peerAddressOf(member))));
  }

  async function askUntilFound(): Promise<void> {
    const until = clock.now() + START_WAIT_MS;
    for (;;) {
      await askPeers();
      if (log.current || clock.now() + START_PAUSE_MS > until) return;
      await clock.sleep(START_PAUSE_MS, stopping.signal);
    }
  }

  return {
    start: async () => {
      watcher?.start();
      await askUntilFound().catch(() => undefined);
      if (!log.current) logger.log('warn', 'no peer holds a configuration yet');
    },
    current: () => log.current,
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    storeReachable: () => watcher?.reachable(),
    stop: () => {
      stopping.abort(new Error('the configuration keeper has stopped'));
      watcher?.stop();
    },
  };
}
