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

/** Interval between exchanges while the store is unreachable, in milliseconds. */
const EXCHANGE_INTERVAL_MS = 1000;
const EXCHANGE_TIMEOUT_MS = 700;

/** Peers contacted in one round; the limit bounds the load in large fleets. */
const MAX_PEERS_PER_ROUND = 16;

interface KeyedRecord {
  key: string;
  record: TargetRecord;
}

interface ExchangeRequest {
  version: number;
  own: KeyedRecord | undefined;
}

interface ExchangeResponse {
  /** Present if it is newer than the version in the request. */
  configuration: RoutingConfiguration | undefined;
  records: KeyedRecord[];
}

/** Options of `PeerExchange`. */
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
 * Keeps a daemon up to date while the store is unreachable: sends its own record to other daemons and
 * receives newer configurations and the records of other targets from them.
 */
export class PeerExchange {
  constructor(private readonly options: PeerExchangeOptions) {
    options.methods.register(EXCHANGE_METHOD, async (params) =>
      this.respond(params as ExchangeRequest),
    );
  }

  /** Runs until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, isStoreReachable } = this.options;
    while (!signal.aborted) {
      if (!isStoreReachable()) await this.exchangeWithSample();
      await clock.sleep(EXCHANGE_INTERVAL_MS, signal).catch(() => undefined);
    }
  }

  /** Exchanges configuration and target records with one daemon. */
  async exchangeWith(address: string, port: number): Promise<void> {
    const { peers, routing, ownKey, ownRecord, directory, logger } = this.options;
    const record = ownRecord();
    const params: ExchangeRequest = {
      version: routing.version(),
      own: record && { key: ownKey, record },
    };
    const response = await peers.call<ExchangeResponse>(
      { address, port },
      EXCHANGE_METHOD,
      params,
      EXCHANGE_TIMEOUT_MS,
    );
    if (response.isErr()) {
      logger.log('info', 'exchange with a peer failed', {
        peer: address,
        reason: response.error.message,
      });
      return;
    }
    const { configuration, records } = response.value;
    if (configuration) routing.applyIfNewer(configuration, 'peer');
    records.forEach(({ key, record: known }) => directory.updateFromPeer(key, known));
  }

  private async exchangeWithSample(): Promise<void> {
    const { directory, random, ownKey } = this.options;
    const peers = directory.all().filter(({ key }) => key !== ownKey);
    while (peers.length > MAX_PEERS_PER_ROUND) {
      peers.splice(Math.floor(random.next() * peers.length), 1);
    }
    await Promise.all(
      peers.map(({ record }: KnownTarget) => this.exchangeWith(record.address, record.peerPort)),
    );
  }

  private respond({ version, own }: ExchangeRequest): ExchangeResponse {
    const { directory, routing } = this.options;
    const record = own && parseTargetRecord(JSON.stringify(own.record));
    if (own && record) directory.updateFromPeer(own.key, record);
    const current = routing.current();
    return {
      configuration: current && current.version > version ? current : undefined,
      records: directory
        .all()
        .filter(({ expiredAt }) => expiredAt === undefined)
        .map(({ key, record: known }) => ({ key, record: known })),
    };
  }
}
