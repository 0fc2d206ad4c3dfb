import { ResultCode, createFailure } from '@shallotcroft/core';
import type {
  Clock,
  Failure,
  PeerAddress,
  PeerCaller,
  PeerMethod,
  PeerMethods,
} from '@shallotcroft/core';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { PausableClock } from './pausableClock.js';

interface Endpoint {
  clock: PausableClock;
  methods: Map<string, PeerMethod>;
  isConnected: boolean;
}

/**
 * Control messages between daemons of one process, with partitions and pauses; a port identifies a
 * daemon.
 */
export class PeerNetwork {
  /** Messages sent so far, by method. */
  readonly sent = new Map<string, number>();

  private readonly endpoints = new Map<number, Endpoint>();

  private readonly cuts = new Set<string>();

  constructor(private readonly clock: Clock) {}

  /** Registers the daemon that listens at `port` and replaces an earlier one. */
  connect(port: number, clock: PausableClock): { methods: PeerMethods; peers: PeerCaller } {
    const endpoint: Endpoint = { clock, methods: new Map(), isConnected: true };
    this.endpoints.set(port, endpoint);
    return {
      methods: { register: (method, handler) => endpoint.methods.set(method, handler) },
      peers: {
        call: (to, method, params, timeoutMs) =>
          this.call(port, endpoint, to, method, params, timeoutMs),
        close: () => Promise.resolve(),
      },
    };
  }

  /** Disconnects the daemon at `port` immediately. */
  disconnect(port: number): void {
    const endpoint = this.endpoints.get(port);
    if (endpoint) endpoint.isConnected = false;
  }

  /** Drops all messages between two daemons, or delivers them again. */
  cut(left: number, right: number, isCut: boolean): void {
    [`${left}-${right}`, `${right}-${left}`].forEach((link) => {
      if (isCut) this.cuts.add(link);
      else this.cuts.delete(link);
    });
  }

  private async call<T>(
    from: number,
    endpoint: Endpoint,
    to: PeerAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<T, Failure>> {
    this.sent.set(method, (this.sent.get(method) ?? 0) + 1);
    const response = await Promise.race([
      this.deliver<T>(from, endpoint, to.port, method, params),
      this.clock.sleep(timeoutMs).then(() => undefined),
    ]);
    await endpoint.clock.untilResumed();
    if (response !== undefined) return Ok(response);
    return Err(createFailure(ResultCode.daemonUnreachable, `${method}: no response`));
  }

  private async deliver<T>(
    from: number,
    endpoint: Endpoint,
    to: number,
    method: string,
    params: unknown,
  ): Promise<T | undefined> {
    const receiver = this.endpoints.get(to);
    const isOpen = (): boolean => endpoint.isConnected && !this.cuts.has(`${from}-${to}`);
    if (!receiver?.isConnected || !isOpen()) return PeerNetwork.neverResolve();
    await receiver.clock.untilResumed();
    const handler = receiver.methods.get(method);
    if (!handler || !receiver.isConnected) return PeerNetwork.neverResolve();
    const response = JSON.stringify(await handler(JSON.parse(JSON.stringify(params))));
    if (!isOpen()) return PeerNetwork.neverResolve();
    return JSON.parse(response) as T;
  }

  private static neverResolve(): Promise<undefined> {
    return new Promise(() => {});
  }
}
