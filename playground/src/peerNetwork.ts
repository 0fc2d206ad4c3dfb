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

interface Station {
  clock: PausableClock;
  methods: Map<string, PeerMethod>;
  connected: boolean;
}

/** Control messages between daemons of one process, with cuts and paused ends. Ports are names. */
export class PeerNetwork {
  /** Messages sent so far, by method. */
  readonly sent = new Map<string, number>();

  private readonly stations = new Map<number, Station>();

  private readonly cuts = new Set<string>();

  constructor(private readonly clock: Clock) {}

  /** Adds the daemon that listens at `port`; an earlier one there is replaced. */
  connect(port: number, clock: PausableClock): { methods: PeerMethods; peers: PeerCaller } {
    const station: Station = { clock, methods: new Map(), connected: true };
    this.stations.set(port, station);
    return {
      methods: { register: (method, handler) => station.methods.set(method, handler) },
      peers: {
        call: (to, method, params, timeoutMs) =>
          this.call(port, station, to, method, params, timeoutMs),
        close: () => Promise.resolve(),
      },
    };
  }

  /** Ends the daemon at `port` at once. */
  disconnect(port: number): void {
    const station = this.stations.get(port);
    if (station) station.connected = false;
  }

  /** Loses every message between two daemons, or lets them through again. */
  cut(left: number, right: number, isCut: boolean): void {
    [`${left}-${right}`, `${right}-${left}`].forEach((link) => {
      if (isCut) this.cuts.add(link);
      else this.cuts.delete(link);
    });
  }

  private async call<T>(
    from: number,
    station: Station,
    to: PeerAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<T, Failure>> {
    this.sent.set(method, (this.sent.get(method) ?? 0) + 1);
    const answer = await Promise.race([
      this.deliver<T>(from, station, to.port, method, params),
      this.clock.sleep(timeoutMs).then(() => undefined),
    ]);
    await station.clock.awake();
    if (answer !== undefined) return Ok(answer);
    return Err(createFailure(ResultCode.daemonUnreachable, `${method}: no answer`));
  }

  private async deliver<T>(
    from: number,
    station: Station,
    to: number,
    method: string,
    params: unknown,
  ): Promise<T | undefined> {
    const receiver = this.stations.get(to);
    const isOpen = (): boolean => station.connected && !this.cuts.has(`${from}-${to}`);
    if (!receiver?.connected || !isOpen()) return PeerNetwork.silence();
    await receiver.clock.awake();
    const handler = receiver.methods.get(method);
    if (!handler || !receiver.connected) return PeerNetwork.silence();
    const answer = JSON.stringify(await handler(JSON.parse(JSON.stringify(params))));
    if (!isOpen()) return PeerNetwork.silence();
    return JSON.parse(answer) as T;
  }

  private static silence(): Promise<undefined> {
    return new Promise(() => {});
  }
}
