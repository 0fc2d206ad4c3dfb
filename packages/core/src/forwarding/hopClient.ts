import type { Result } from 'ts-results-es';
import type { Endpoint } from '../calls/call.js';
import type { ByteBudget } from '../http/byteBudget.js';
import { createHeldBytes } from '../http/heldBytes.js';
import type { Clock } from '../runtime/clock.js';
import type { Failure } from '../runtime/failure.js';
import type { HopResponse, HopPeer, HopRequest } from './hopMessages.js';
import { HopPool } from './hopPool.js';
import type { UnresponsiveListener } from './hopPool.js';

/** Sends requests to other daemons over pooled connections. */
export class HopClient {
  /** Connections by endpoint, `address:port`. */
  private readonly pools = new Map<string, HopPool>();

  constructor(
    private readonly local: HopPeer,
    private readonly clock: Clock,
    private readonly onUnresponsive: UnresponsiveListener = () => undefined,
    /** Bounds the bodies of responses that are held. */
    private readonly responseBytes: ByteBudget = createHeldBytes().responses,
  ) {}

  /** Sends a request; fails with `notRunConnect` when nothing was sent. */
  send(
    endpoint: Endpoint,
    request: HopRequest,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<HopResponse, Failure>> {
    return this.poolOf(endpoint).send(request, timeoutMs, signal);
  }

  /** Closes connections that have no request in flight and had none for the idle timeout. */
  closeIdleConnections(): void {
    this.pools.forEach((pool) => pool.closeIdleConnections());
  }

  /** Closes all connections. */
  close(): void {
    this.pools.forEach((pool) => pool.close());
  }

  private poolOf(endpoint: Endpoint): HopPool {
    const key = `${endpoint.address}:${endpoint.port}`;
    const known = this.pools.get(key);
    if (known) return known;
    const pool = new HopPool({
      endpoint,
      local: this.local,
      clock: this.clock,
      onUnresponsive: this.onUnresponsive,
      responseBytes: this.responseBytes,
      onEmpty: () => this.pools.delete(key),
    });
    this.pools.set(key, pool);
    return pool;
  }
}
