import type { Result } from 'ts-results-es';
import type { Clock } from '../runtime/clock.js';
import { EtcdClient } from './etcdClient.js';
import { decodeBase64, encodeBase64, prefixEnd } from './etcdMessages.js';
import type {
  EtcdKeyValue,
  EtcdLeaseResponse,
  EtcdOperation,
  EtcdRangeResponse,
  EtcdStreamed,
  EtcdTransactionRequest,
  EtcdTransactionResponse,
} from './etcdMessages.js';
import { EtcdWatch } from './etcdWatch.js';
import type { Listing } from './etcdWatch.js';
import type { Failure } from '../runtime/failure.js';
import type { RandomSource } from '../runtime/random.js';
import { Store } from './store.js';
import type { StoreEntry, SwapOutcome, Watch } from './store.js';

const DEFAULT_TIMEOUT_MS = 2000;
const DEFAULT_IDLE_TIMEOUT_MS = 3000;

/** Options of `EtcdStore`. */
export interface EtcdStoreOptions {
  /** Origins of the gateway, such as `http://10.0.0.1:2379`. */
  endpoints: string[];
  clock: Clock;
  random: RandomSource;
  /** Timeout of a request, in milliseconds. */
  timeoutMs?: number;
  /** Time without a message after which a watch opens a new connection, in milliseconds. */
  idleTimeoutMs?: number;
}

function entryOf(found: EtcdKeyValue): StoreEntry {
  return {
    key: decodeBase64(found.key),
    value: decodeBase64(found.value),
    modRevision: Number(found.mod_revision ?? 0),
  };
}

/** Client of the platform's store, through the etcd v3 HTTP/JSON gateway. */
export class EtcdStore extends Store {
  private readonly client: EtcdClient;

  private readonly watches = new Set<EtcdWatch>();

  constructor(private readonly options: EtcdStoreOptions) {
    super();
    const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.client = new EtcdClient(options.endpoints, options.clock, timeoutMs);
  }

  async get(key: string): Promise<Result<StoreEntry | undefined, Failure>> {
    const found = await this.range({ key: encodeBase64(key) });
    return found.map((response) => response.kvs?.map(entryOf)[0]);
  }

  async list(prefix: string): Promise<Result<StoreEntry[], Failure>> {
    return (await this.listWithRevision(prefix)).map((listing) => listing.entries);
  }

  swap(
    key: string,
    expected: number,
    value: string,
    lease?: string,
  ): Promise<Result<SwapOutcome, Failure>> {
    const put = { key: encodeBase64(key), value: encodeBase64(value), ...(lease && { lease }) };
    return this.compareAndExecute(key, expected, { request_put: put }, value);
  }

  remove(key: string, expected: number): Promise<Result<SwapOutcome, Failure>> {
    const operation = { request_delete_range: { key: encodeBase64(key) } };
    return this.compareAndExecute(key, expected, operation, undefined);
  }

  async grantLease(ttlSeconds: number): Promise<Result<string, Failure>> {
    const body = { TTL: String(ttlSeconds) };
    const granted = await this.client.post<EtcdLeaseResponse>('/v3/lease/grant', body, 'write');
    return granted.map((response) => response.ID ?? '');
  }

  async renewLease(lease: string): Promise<Result<number, Failure>> {
    const renewed = await this.client.post<EtcdStreamed<EtcdLeaseResponse>>(
      '/v3/lease/keepalive',
      { ID: lease },
      'write',
    );
    return renewed.map((response) => Number(response.result?.TTL ?? 0));
  }

  watch(prefix: string, listener: (entry: StoreEntry) => void): Watch {
    const { endpoints, clock, random, idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS } = this.options;
    const list = async () => (await this.listWithRevision(prefix)).unwrapOr(undefined);
    const options = { endpoints, prefix, clock, random, idleTimeoutMs, list, listener };
    const watch = new EtcdWatch(options);
    this.watches.add(watch);
    watch
      .run()
      .finally(() => this.watches.delete(watch))
      .catch(() => undefined);
    return watch;
  }

  async close(): Promise<void> {
    this.watches.forEach((watch) => watch.close());
    await this.client.close();
  }

  private range(body: { key: string; range_end?: string }) {
    return this.client.post<EtcdRangeResponse>('/v3/kv/range', body, 'read');
  }

  private async listWithRevision(prefix: string): Promise<Result<Listing, Failure>> {
    const body = { key: encodeBase64(prefix), range_end: prefixEnd(prefix) };
    return (await this.range(body)).map((response) => ({
      revision: Number(response.header?.revision ?? 0),
      entries: (response.kvs ?? []).map(entryOf),
    }));
  }

  private async compareAndExecute(
    key: string,
    expected: number,
    operation: EtcdOperation,
    value: string | undefined,
  ): Promise<Result<SwapOutcome, Failure>> {
    const encodedKey = encodeBase64(key);
    const body: EtcdTransactionRequest = {
      compare: [
        { key: encodedKey, target: 'MOD', result: 'EQUAL', mod_revision: String(expected) },
      ],
      success: [operation],
      failure: [{ request_range: { key: encodedKey } }],
    };
    const result = await this.client.post<EtcdTransactionResponse>('/v3/kv/txn', body, 'write');
    return result.map((response): SwapOutcome => {
      if (!response.succeeded) {
        const found = response.responses?.[0]?.response_range?.kvs?.[0];
        return { swapped: false, current: found && entryOf(found) };
      }
      // The header contains the revision of this transaction.
      const modRevision = Number(response.header?.revision ?? 0);
      const current = value === undefined ? undefined : { key, value, modRevision };
      return { swapped: true, current };
    });
  }
}
