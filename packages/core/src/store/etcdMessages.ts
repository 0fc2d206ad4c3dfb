/** The messages of the etcd v3 HTTP/JSON gateway that the store client uses. 64-bit numbers are strings. */

/** One entry; keys and values are base64. */
export interface EtcdKeyValue {
  key: string;
  value?: string;
  mod_revision?: string;
  lease?: string;
}

/** Header of every response. */
export interface EtcdHeader {
  revision?: string;
}

/** Requests one key, or all keys from `key` (included) to `range_end` (excluded). */
export interface EtcdRangeRequest {
  key: string;
  range_end?: string;
}

/** Response to a range request. */
export interface EtcdRangeResponse {
  header?: EtcdHeader;
  kvs?: EtcdKeyValue[];
}

/** One operation of a transaction; exactly one field is set. */
export interface EtcdOperation {
  request_put?: { key: string; value: string; lease?: string };
  request_delete_range?: { key: string };
  request_range?: EtcdRangeRequest;
}

/** Condition on the modRevision of one key. */
export interface EtcdCompare {
  key: string;
  target: 'MOD';
  result: 'EQUAL';
  mod_revision: string;
}

/** A transaction: runs `success` if all conditions in `compare` hold, otherwise `failure`. */
export interface EtcdTransactionRequest {
  compare: EtcdCompare[];
  success: EtcdOperation[];
  failure: EtcdOperation[];
}

/** Response to a transaction; `succeeded` is absent if false. */
export interface EtcdTransactionResponse {
  header?: EtcdHeader;
  succeeded?: boolean;
  responses?: { response_range?: EtcdRangeResponse }[];
}

/** Requests a lease; `TTL` is in seconds. */
export interface EtcdLeaseGrantRequest {
  TTL: string;
}

/** Response to a grant or a renewal; `TTL` is absent or zero if the lease has expired. */
export interface EtcdLeaseResponse {
  ID?: string;
  TTL?: string;
}

/** Requests the renewal of a lease. */
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

/** One message of a watch. */
export interface EtcdWatchResponse {
  header?: EtcdHeader;
  created?: boolean;
  canceled?: boolean;
  compact_revision?: string;
  events?: EtcdEvent[];
}

/** One line of a streamed response. */
export interface EtcdStreamed<T> {
  result?: T;
  error?: { message?: string };
}

/** Encodes text as base64. */
export function encodeBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

/** Decodes base64 to text; undefined decodes to an empty text. */
export function decodeBase64(text: string | undefined): string {
  return Buffer.from(text ?? '', 'base64').toString('utf8');
}

/** End (excluded) of the range of keys that start with `prefix`, as base64. */
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
