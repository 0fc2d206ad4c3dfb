import type { Clock } from '../runtime/clock.js';
import type { Logger } from '../observability/logger.js';
import type { PeerCaller, PeerMethods } from '../peers/peer.js';
import type { RandomSource } from '../runtime/random.js';
import type { RoutingConfiguration } from '../routes/route.js';
import type { RoutingManager } from '../routes/routingManager.js';
import { bucketOf, decodeDigests, directoryDigests, encodeDigests } from './directoryDigests.js';
import { parseTargetRecord } from './targetRecord.js';
import type { TargetRecord } from './targetRecord.js';
import type { KnownTarget, TargetDirectory } from './targetDirectory.js';

/** Control method that exchanges configuration and target records between daemons. */
export const EXCHANGE_METHOD = 'fleet.exchange';

/** Interval between exchanges while the store is unreachable, in milliseconds. */
const EXCHANGE_INTERVAL_MS = 1000;
const EXCHANGE_TIMEOUT_MS = 700;

/**
 * Peers contacted in one round, in this data centre and in others; bytes between data centres are
 * costly, and one contact in each direction spreads what either side knows.
 */
const LOCAL_PEERS_PER_ROUND = 4;
const REMOTE_PEERS_PER_ROUND = 1;

interface KeyedRecord {
  key: string;
  record: TargetRecord;
}

interface ExchangeRequest {
  version: number;
  own: KeyedRecord | undefined;
  /** Digests of the sender's directory; absent if it needs no records. */
  digests: string | undefined;
}

interface ExchangeResponse {
  /** Present if it is newer than the version in the request. */
  configuration: RoutingConfiguration | undefined;
  /** Records of the parts of the directory whose digests differ. */
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
  /** Data centre of this daemon. */
  dataCentre: string;
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

  /** Requests a newer configuration from one daemon. */
  async requestConfiguration(address: string, port: number): Promise<void> {
    await this.send(address, port, undefined);
  }

  /** Exchanges configuration and target records with one daemon. */
  async exchangeWith(address: string, port: number): Promise<void> {
    await this.send(address, port, encodeDigests(directoryDigests(this.options.directory)));
  }

  private async send(address: string, port: number, digests: string | undefined): Promise<void> {
    const { peers, routing, ownKey, ownRecord, logger } = this.options;
    const record = ownRecord();
    const params: ExchangeRequest = {
      version: routing.version(),
      own: record && { key: ownKey, record },
      digests,
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
    records.forEach((keyed) => this.applyRecord(keyed));
  }

  private async exchangeWithSample(): Promise<void> {
    const { directory, ownKey, dataCentre } = this.options;
    const peers = directory.all().filter(({ key }) => key !== ownKey);
    const local = peers.filter(({ record }) => record.dataCentre === dataCentre);
    const remote = peers.filter(({ record }) => record.dataCentre !== dataCentre);
    const chosen = [
      ...this.sample(local, LOCAL_PEERS_PER_ROUND),
      ...this.sample(remote, REMOTE_PEERS_PER_ROUND),
    ];
    await Promise.all(
      chosen.map(({ record }) => this.exchangeWith(record.address, record.peerPort)),
    );
  }

  private sample(targets: KnownTarget[], count: number): KnownTarget[] {
    const remaining = [...targets];
    const chosen: KnownTarget[] = [];
    while (chosen.length < count && remaining.length > 0) {
      const index = Math.floor(this.options.random.next() * remaining.length);
      chosen.push(...remaining.splice(index, 1));
    }
    return chosen;
  }

  private respond({ version, own, digests }: ExchangeRequest): ExchangeResponse {
    const { routing } = this.options;
    if (own) this.applyRecord(own);
    const current = routing.current();
    return {
      configuration: current && current.version > version ? current : undefined,
      records: digests === undefined ? [] : this.differingRecords(decodeDigests(digests)),
    };
  }

  /** Takes over a record of a peer; an invalid one is ignored. */
  private applyRecord({ key, record: received }: KeyedRecord): void {
    const record = parseTargetRecord(JSON.stringify(received));
    if (record) this.options.directory.updateFromPeer(key, record);
    else this.options.logger.log('warn', 'invalid target record of a peer ignored', { key });
  }

  /** Valid records in the parts of the directory whose digests differ from `digests`. */
  private differingRecords(digests: Uint32Array): KeyedRecord[] {
    const { directory } = this.options;
    const own = directoryDigests(directory);
    return directory
      .all()
      .filter(({ key, expiredAt }) => {
        const bucket = bucketOf(key);
        return expiredAt === undefined && own[bucket] !== digests[bucket];
      })
      .map(({ key, record }) => ({ key, record }));
  }
}
