import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Pool } from 'undici';
import type { Clock } from '../runtime/clock.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { ResultCode } from '../runtime/resultCode.js';

/** Most connections to one endpoint. */
const CONNECTIONS_PER_ENDPOINT = 4;
const CONNECT_TIMEOUT_MS = 1000;
const IDLE_TIMEOUT_MS = 10_000;
const HTTP_OK = 200;

/** Statuses of requests that were not executed. Cancelled requests (408, 499) may still be executed. */
const REJECTED_STATUSES = new Set([400, 401, 403, 404, 429]);

/** Codes of errors that occur before any byte of the request is sent. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Kind of request; only a read may be sent again after its response is lost. */
export type RequestKind = 'read' | 'write';

/** Error of an attempt that returned no successful response. */
interface AttemptError {
  /** With `notSent` and `rejected`, nothing was written. */
  kind: 'notSent' | 'rejected' | 'unknown';
  message: string;
}

function attemptErrorOf(error: Error & { code?: string }): AttemptError {
  const kind = NOT_SENT_CODES.has(error.code ?? '') ? 'notSent' : 'unknown';
  return { kind, message: error.message };
}

function statusErrorOf(status: number, text: string): AttemptError {
  const kind = REJECTED_STATUSES.has(status) ? 'rejected' : 'unknown';
  return { kind, message: `HTTP ${status}: ${text.slice(0, 200)}` };
}

/** Sends unary requests to the etcd gateway; switches to the next endpoint after a failure. */
export class EtcdClient {
  private readonly pools: Pool[];

  private endpointIndex = 0;

  constructor(
    private readonly endpoints: string[],
    private readonly clock: Clock,
    private readonly timeoutMs: number,
  ) {
    this.pools = endpoints.map((endpoint) => EtcdClient.openPool(endpoint));
  }

  /**
   * Posts `body` and returns the response.
   * A failed read is retried until every endpoint was tried, and at least once; a write is retried
   * only if nothing was sent. Fails with `storeUnavailable`, or `storeOutcomeUnknown` for writes.
   */
  async post<T>(path: string, body: object, kind: RequestKind): Promise<Result<T, Failure>> {
    const attempts = Math.max(2, this.endpoints.length);
    let message = 'no endpoint';
    for (let attempt = 0; attempt < attempts; attempt++) {
      const index = this.endpointIndex;
      const response = await this.attempt<T>(index, path, body);
      if (response.isOk()) return response;
      message = `${path} at ${this.endpoints[index]}: ${response.error.message}`;
      if (response.error.kind === 'rejected') break;
      this.switchEndpoint(index);
      if (kind === 'write' && response.error.kind === 'unknown') return EtcdClient.unknown(message);
    }
    const advice = 'nothing was changed; check the store and try again';
    return Err(createFailure(ResultCode.storeUnavailable, `${message}; ${advice}`));
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all(this.pools.map((pool) => pool.destroy()));
  }

  private async attempt<T>(
    index: number,
    path: string,
    body: object,
  ): Promise<Result<T, AttemptError>> {
    const pool = this.pools[index] as Pool;
    const timeout = new AbortController();
    const reason = new Error(`no response within ${this.timeoutMs} ms`);
    const timer = this.clock.startTimer(this.timeoutMs, () => timeout.abort(reason));
    try {
      const response = await pool.request({
        path,
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        signal: timeout.signal,
      });
      const text = await response.body.text();
      const status = response.statusCode;
      if (status !== HTTP_OK) return Err(statusErrorOf(status, text));
      return Ok(JSON.parse(text) as T);
    } catch (error) {
      return Err(attemptErrorOf(error as Error));
    } finally {
      timer.cancel();
    }
  }

  /**
   * Switches to the next endpoint and replaces the connections to this one: if one of them is
   * unresponsive, the others probably are too, while new ones may work.
   */
  private switchEndpoint(index: number): void {
    const old = this.pools[index] as Pool;
    this.pools[index] = EtcdClient.openPool(this.endpoints[index] as string);
    old.close().catch(() => undefined);
    this.endpointIndex = (index + 1) % this.endpoints.length;
  }

  private static openPool(endpoint: string): Pool {
    return new Pool(endpoint, {
      connections: CONNECTIONS_PER_ENDPOINT,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: IDLE_TIMEOUT_MS,
    });
  }

  private static unknown<T>(message: string): Result<T, Failure> {
    const advice = 'the write may have taken effect or may still do so; read before trying again';
    return Err(createFailure(ResultCode.storeOutcomeUnknown, `${message}; ${advice}`));
  }
}
