import { decodeBase64, encodeBase64 } from '@shallotcroft/core';
import type {
  EtcdKeyValue,
  EtcdLeaseGrantRequest,
  EtcdLeaseKeepAliveRequest,
  EtcdLeaseResponse,
  EtcdRangeRequest,
  EtcdRangeResponse,
  EtcdStreamed,
  EtcdTransactionRequest,
  EtcdTransactionResponse,
  Failure,
  MemoryStore,
  StoreEntry,
  SwapOutcome,
} from '@shallotcroft/core';
import type { Result } from 'ts-results-es';

/** Handles the body of one gateway request; fails with the failure of the store. */
export type GatewayRoute = (body: never) => Promise<Result<object, Failure>>;

/** Encodes an entry as the gateway does. */
export function keyValueOf(entry: StoreEntry): EtcdKeyValue {
  return {
    key: encodeBase64(entry.key),
    value: encodeBase64(entry.value),
    mod_revision: String(entry.modRevision),
  };
}

function applyTransaction(
  store: MemoryStore,
  request: EtcdTransactionRequest,
): Promise<Result<SwapOutcome, Failure>> {
  const [compare] = request.compare;
  const [operation] = request.success;
  const key = decodeBase64(compare?.key);
  const expected = Number(compare?.mod_revision ?? 0);
  const put = operation?.request_put;
  if (!put) return store.remove(key, expected);
  return store.swap(key, expected, decodeBase64(put.value), put.lease);
}

/** Creates the gateway routes with a single response, by path; watches are streamed separately. */
export function createGatewayRoutes(store: MemoryStore): Record<string, GatewayRoute> {
  const header = () => ({ revision: String(store.database.revision) });

  const range = async (request: EtcdRangeRequest) => {
    const key = decodeBase64(request.key);
    const listed = request.range_end
      ? await store.list(key)
      : (await store.get(key)).map((entry) => (entry ? [entry] : []));
    return listed.map((entries): EtcdRangeResponse => ({
      header: header(),
      kvs: entries.map(keyValueOf),
    }));
  };

  const transaction = async (request: EtcdTransactionRequest) =>
    (await applyTransaction(store, request)).map((outcome): EtcdTransactionResponse => {
      if (outcome.swapped) return { header: header(), succeeded: true, responses: [{}] };
      const kvs = outcome.current ? [keyValueOf(outcome.current)] : [];
      return { header: header(), responses: [{ response_range: { kvs } }] };
    });

  const grantLease = async (request: EtcdLeaseGrantRequest) =>
    (await store.grantLease(Number(request.TTL))).map((lease): EtcdLeaseResponse => ({
      ID: lease,
      TTL: request.TTL,
    }));

  const keepLease = async (request: EtcdLeaseKeepAliveRequest) =>
    (await store.renewLease(request.ID)).map((seconds): EtcdStreamed<EtcdLeaseResponse> => ({
      result: { ID: request.ID, TTL: String(seconds) },
    }));

  return {
    '/v3/kv/range': range,
    '/v3/kv/txn': transaction,
    '/v3/lease/grant': grantLease,
    '/v3/lease/keepalive': keepLease,
  };
}
