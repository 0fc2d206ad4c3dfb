import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Pool } from 'undici';
import type { Clock } from '../runtime/clock.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { ResultCode } from '../runtime/resultCode.js';

/** Connections to one endpoint. */
const CONNECTIONS_PER_ENDPOINT = 4;
const CONNECT_TIMEOUT_MS = 1000;
const IDLE_TIMEOUT_MS = 10_000;
const HTTP_OK = 200;

/** Statuses by which the gateway says that it refused; a cancelled request (408, 499) may be run. */
const REFUSED_STATUSES = new Set([400, 401, 403, 404, 429]);

/** Errors that come before a byte of the request is sent. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Whether a request may be sent again when its answer is lost. */
export type RequestKind = 'read' | 'write';

/** How one attempt ended when it brought no answer. */
interface AttemptError {
  /** `notSent` and `refused` promise that nothing was written. */
  kind: 'notSent' | 'refused' | 'unknown';
  message: string;
}

function attemptErrorOf(error: Error & { code?: string }): AttemptError {
  const kind = NOT_SENT_CODES.has(error.code ?? '') ? 'notSent' : 'unknown';
  return { kind, message: error.message };
}

function statusErrorOf(status: number, text: string): AttemptError {
  const kind = REFUSED_STATUSES.has(status) ? 'refused' : 'unknown';
  return { kind, message: `HTTP ${status}: ${text.slice(0, 200)}` };
}

/** Sends requests with one answer to the gateway, at whichever endpoint works. */
export class EtcdClient {
  private readonly pools: Pool[];

  private preferred = 0;

  constructor(
    private readonly endpoints: string[],
    private readonly clock: Clock,
    private readonly timeoutMs: number,
  ) {
    this.pools = endpoints.map((endpoint) => EtcdClient.openPool(endpoint));
  }

  /**
   * Posts `body` and returns the answer.
   * A read is tried at every endpoint, and at least twice; a write is tried again only where
   * nothing was sent.
   */
  async post<T>(path: string, body: object, kind: RequestKind): Promise<Result<T, Failure>> {
    const attempts = Math.max(2, this.endpoints.length);
    let message = 'no endpoint';
    for (let attempt = 0; attempt < attempts; attempt++) {
      const index = this.preferred;
      const answer = await this.attempt<T>(index, path, body);
      if (answer.isOk()) return answer;
      message = `${path} at ${this.endpoints[index]}: ${answer.error.message}`;
      if (answer.error.kind === 'refused') break;
      this.leave(index);
      if (kind === 'write' && answer.error.kind === 'unknown') return EtcdClient.unknown(message);
    }
    const advice = 'nothing was done; check the store and try again';
    return Err(createFailure(ResultCode.storeUnavailable, `${message}; ${advice}`));
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    await Promise.all(this.pools.map((pool) => pool.destroy()));
  }

  private async attempt<T>(
    index: number,
    path: string,
    body: object,
  ): Promise<Result<T, AttemptError>> {
    const pool = this.pools[index] as Pool;
    const expired = new AbortController();
    const reason = new Error(`no answer within ${this.timeoutMs} ms`);
    const timer = this.clock.startTimer(this.timeoutMs, () => expired.abort(reason));
    try {
      const answer = await pool.request({
        path,
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        signal: expired.signal,
      });
      const text = await answer.body.text();
      const status = answer.statusCode;
      if (status !== HTTP_OK) return Err(statusErrorOf(status, text));
      return Ok(JSON.parse(text) as T);
    } catch (error) {
      return Err(attemptErrorOf(error as Error));
    } finally {
      timer.cancel();
    }
  }

  /**
   * Turns to the next endpoint and drops the connections to this one: when one of them has gone
   * silent, the others probably have too, while new ones may work.
   */
  private leave(index: number): void {
    const old = this.pools[index] as Pool;
    this.pools[index] = EtcdClient.openPool(this.endpoints[index] as string);
    old.close().catch(() => undefined);
    this.preferred = (index + 1) % this.endpoints.length;
  }

  private static openPool(endpoint: string): Pool {
    return new Pool(endpoint, {
      connections: CONNECTIONS_PER_ENDPOINT,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: IDLE_TIMEOUT_MS,
    });
  }

  private static unknown<T>(message: string): Result<T, Failure> {
    const advice = 'the write may have taken effect, now or later; read before trying again';
    return Err(createFailure(ResultCode.storeOutcomeUnknown, `${message}; ${advice}`));
  }
}
