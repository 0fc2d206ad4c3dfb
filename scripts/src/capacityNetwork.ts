import { MembershipMethod, ResultCode, createFailure } from '@shallotcroft/core';
import type {
  Clock,
  Failure,
  PeerAddress,
  PeerCaller,
  PeerMethod,
  PeerMethods,
  RandomSource,
} from '@shallotcroft/core';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** Bytes of the JSON-RPC envelope of a request and of its answer, besides method, params and result. */
const ENVELOPE_BYTES = 90;

/** One daemon that really runs. */
export interface Station extends PeerCaller, PeerMethods {
  /** Calls a method of this daemon from outside of the measurement. */
  handle(method: string, params: unknown): Promise<unknown>;
}

/** What was carried. */
export interface Traffic {
  messages: number;
  jsonBytes: number;
  unanswered: number;
}

/**
 * A fleet of which only a few daemons run. These answer for all others, so that each has the load
 * of one daemon in a fleet of the full size, over tables of the full size.
 */
export class CapacityNetwork {
  readonly traffic: Traffic = { messages: 0, jsonBytes: 0, unanswered: 0 };

  /** Incarnation of each address. */
  readonly incarnations = new Map<string, string>();

  /** Addresses that do not answer. */
  readonly dead = new Set<string>();

  private readonly stations = new Map<string, Map<string, PeerMethod>>();

  private readonly running: Map<string, PeerMethod>[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Adds a daemon that runs; with `answersForAll` it stands in for those that don't. */
  attach(address: string, answersForAll: boolean): Station {
    const methods = new Map<string, PeerMethod>();
    this.stations.set(address, methods);
    if (answersForAll) this.running.push(methods);
    return {
      call: (to, method, params, timeoutMs) => this.carry(methods, to, method, params, timeoutMs),
      close: async () => undefined,
      register: (method, handler) => methods.set(method, handler),
      handle: async (method, params) => methods.get(method)?.(params),
    };
  }

  /** Lets the running daemons answer for an address from now on. */
  detach(address: string): void {
    this.stations.delete(address);
  }

  private standInFor(address: string, caller: Map<string, PeerMethod>): Map<string, PeerMethod> {
    const own = this.stations.get(address);
    if (own) return own;
    const others = this.running.filter((methods) => methods !== caller);
    return others[Math.floor(this.random.next() * others.length)] ?? caller;
  }

  private async carry<T>(
    caller: Map<string, PeerMethod>,
    to: PeerAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<T, Failure>> {
    if (this.dead.has(to.address)) {
      this.traffic.unanswered += 1;
      await this.clock.sleep(timeoutMs);
      return Err(createFailure(ResultCode.daemonUnreachable, 'no answer'));
    }
    const request = JSON.stringify(params);
    const handler = this.standInFor(to.address, caller).get(method);
    const answer = JSON.stringify((await handler?.(JSON.parse(request))) ?? null);
    this.traffic.messages += 1;
    this.traffic.jsonBytes += request.length + answer.length + method.length + ENVELOPE_BYTES;
    const parsed = JSON.parse(answer) as T;
    return Ok(this.inTheNameOf(to.address, method, parsed));
  }

  private inTheNameOf<T>(address: string, method: string, answer: T): T {
    const incarnation = this.incarnations.get(address);
    const names = method === MembershipMethod.exchange || method === MembershipMethod.ping;
    return names && incarnation ? { ...answer, incarnation } : answer;
  }
}
