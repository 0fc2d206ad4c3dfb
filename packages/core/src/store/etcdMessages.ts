/** Messages of the etcd v3 HTTP/JSON gateway, as far as they are used. 64-bit numbers are strings. */

/** One entry; keys and values are base64. */
export interface EtcdKeyValue {
  key: string;
  value?: string;
  mod_revision?: string;
  lease?: string;
}

/** Heads every answer. */
export interface EtcdHeader {
  revision?: string;
}

/** Asks for one key, or for all keys from `key` to before `range_end`. */
export interface EtcdRangeRequest {
  key: string;
  range_end?: string;
}

/** Answer of a range request. */
export interface EtcdRangeResponse {
  header?: EtcdHeader;
  kvs?: EtcdKeyValue[];
}

/** One step of a transaction; one of the fields is set. */
export interface EtcdOperation {
  request_put?: { key: string; value: string; lease?: string };
  request_delete_range?: { key: string };
  request_range?: EtcdRangeRequest;
}

/** Compares one key's modRevision. */
export interface EtcdCompare {
  key: string;
  target: 'MOD';
  result: 'EQUAL';
  mod_revision: string;
}

/** A transaction: `success` when all of `compare` hold, else `failure`. */
export interface EtcdTransactionRequest {
  compare: EtcdCompare[];
  success: EtcdOperation[];
  failure: EtcdOperation[];
}

/** Answer of a transaction; `succeeded` is absent when false. */
export interface EtcdTransactionResponse {
  header?: EtcdHeader;
  succeeded?: boolean;
  responses?: { response_range?: EtcdRangeResponse }[];
}

/** Asks for a lease. */
export interface EtcdLeaseGrantRequest {
  TTL: string;
}

/** Answer to a grant or a renewal; `TTL` is absent or zero when the lease has lapsed. */
export interface EtcdLeaseResponse {
  ID?: string;
  TTL?: string;
}

/** Asks for the renewal of a lease. */
export interface EtcdLeaseKeepAliveRequest {
  ID: string;
}

/** Starts a watch. */
export interface EtcdWatchRequest {
  create_request: EtcdRangeRequest & { start_revision: string; progress_notify: boolean };
}

/** One change; `type` is absent for a put. */
export interface EtcdEvent {
  type?: 'PUT' | 'DELETE';
  kv: EtcdKeyValue;
}

/** One line of a watch. */
export interface EtcdWatchResponse {
  header?: EtcdHeader;
  created?: boolean;
  canceled?: boolean;
  compact_revision?: string;
  events?: EtcdEvent[];
}

/** One line of a streamed answer. */
export interface EtcdStreamed<T> {
  result?: T;
  error?: { message?: string };
}

/** Text as base64. */
export function encodeBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

/** Base64 as text; absent means empty. */
export function decodeBase64(text: string | undefined): string {
  return Buffer.from(text ?? '', 'base64').toString('utf8');
}

/** The end of the range of keys that start with `prefix`, as base64. */
export function prefixEnd(prefix: string): string {
  const bytes = Buffer.from(prefix, 'utf8');
  for (let last = bytes.length - 1; last >= 0; last--) {
    const byte = bytes[last] as number;
    if (byte < 0xff) {
      bytes[last] = byte + 1;
      return bytes.subarray(0, last + 1).toString('base64');
    }
  }
  return Buffer.from([0]).toString('base64');
}
