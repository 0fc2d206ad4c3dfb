import type { Clock } from '../runtime/clock.js';
import type { Logger } from '../observability/logger.js';
import type { PeerCaller, PeerMethods } from '../peers/peer.js';
import type { RandomSource } from '../runtime/random.js';
import type { RoutingConfiguration } from '../routes/route.js';
import type { RoutingManager } from '../routes/routingManager.js';
import { parseTargetRecord } from './targetRecord.js';
import type { TargetRecord } from './targetRecord.js';
import type { KnownTarget, TargetDirectory } from './targetDirectory.js';

/** Control method that exchanges configuration and target records between daemons. */
export const EXCHANGE_METHOD = 'fleet.exchange';

/** How often a daemon asks others while the store does not answer, in milliseconds. */
const EXCHANGE_INTERVAL_MS = 1000;
const EXCHANGE_TIMEOUT_MS = 700;
/** Daemons that are asked in one round; more would cost large fleets too much. */
const MAX_PEERS = 16;

interface KeyedRecord {
  key: string;
  record: TargetRecord;
}

interface ExchangeParams {
  version: number;
  own: KeyedRecord | undefined;
}

interface ExchangeAnswer {
  /** Given when it is newer than the version of the one who asked. */
  configuration: RoutingConfiguration | undefined;
  records: KeyedRecord[];
}

/** What an exchange needs. */
export interface PeerExchangeOptions {
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  peers: PeerCaller;
  methods: PeerMethods;
  directory: TargetDirectory;
  routing: RoutingManager;
  ownKey: string;
  ownRecord: () => TargetRecord | undefined;
  isStoreReachable: () => boolean;
}

/**
 * Keeps a daemon that the store refuses up to date: it sends its record to other daemons, and learns
 * from them of newer configurations and other targets.
 */
export class PeerExchange {
  constructor(private readonly options: PeerExchangeOptions) {
    options.methods.register(EXCHANGE_METHOD, async (params) =>
      this.answer(params as ExchangeParams),
    );
  }

  /** Runs until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, isStoreReachable } = this.options;
    while (!signal.aborted) {
      if (!isStoreReachable()) await this.askSome();
      await clock.sleep(EXCHANGE_INTERVAL_MS, signal).catch(() => undefined);
    }
  }

  /** Takes a newer configuration from one daemon. */
  async ask(address: string, port: number): Promise<void> {
    const { peers, routing, ownKey, ownRecord, directory, logger } = this.options;
    const record = ownRecord();
    const params: ExchangeParams = {
      version: routing.version(),
      own: record && { key: ownKey, record },
    };
    const asked = await peers.call<ExchangeAnswer>(
      { address, port },
      EXCHANGE_METHOD,
      params,
      EXCHANGE_TIMEOUT_MS,
    );
    if (asked.isErr()) {
      logger.log('info', 'exchange failed', { peer: address, reason: asked.error.message });
      return;
    }
    const { configuration, records } = asked.value;
    if (configuration) routing.offer(configuration, 'peer');
    records.forEach(({ key, record: known }) => directory.learnFromPeer(key, known));
  }

  private async askSome(): Promise<void> {
    const { directory, random, ownKey } = this.options;
    const others = directory.all().filter(({ key }) => key !== ownKey);
    while (others.length > MAX_PEERS) {
      others.splice(Math.floor(random.next() * others.length), 1);
    }
    await Promise.all(
      others.map(({ record }: KnownTarget) => this.ask(record.address, record.peerPort)),
    );
  }

  private answer({ version, own }: ExchangeParams): ExchangeAnswer {
    const { directory, routing } = this.options;
    const record = own && parseTargetRecord(JSON.stringify(own.record));
    if (own && record) directory.learnFromPeer(own.key, record);
    const current = routing.current();
    return {
      configuration: current && current.version > version ? current : undefined,
      records: directory
        .all()
        .filter(({ lapsedAt }) => lapsedAt === undefined)
        .map(({ key, record: known }) => ({ key, record: known })),
    };
  }
}
