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

/** Bytes of the JSON-RPC envelopes of request and response, without method, params and result. */
const ENVELOPE_BYTES = 90;

/** Network access of one running daemon. */
export interface RunningPeer extends PeerCaller, PeerMethods {
  /** Calls a method of this daemon without counting it as traffic. */
  handle(method: string, params: unknown): Promise<unknown>;
}

/** Counters of the network. */
export interface Traffic {
  messages: number;
  jsonBytes: number;
  unanswered: number;
}

/**
 * Network of a fleet of which only a few daemons run. These respond in place of all others, so that
 * each has the load of one daemon in a fleet of the full size, with tables of the full size.
 */
export class CapacityNetwork {
  readonly traffic: Traffic = { messages: 0, jsonBytes: 0, unanswered: 0 };

  /** Incarnation of each address. */
  readonly incarnations = new Map<string, string>();

  /** Addresses that do not respond. */
  readonly unreachable = new Set<string>();

  private readonly methodsByAddress = new Map<string, Map<string, PeerMethod>>();

  private readonly standIns: Map<string, PeerMethod>[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Adds a running daemon; with `isStandIn` it responds in place of those that don't run. */
  attach(address: string, isStandIn: boolean): RunningPeer {
    const methods = new Map<string, PeerMethod>();
    this.methodsByAddress.set(address, methods);
    if (isStandIn) this.standIns.push(methods);
    return {
      call: (to, method, params, timeoutMs) => this.deliver(methods, to, method, params, timeoutMs),
      close: async () => undefined,
      register: (method, handler) => methods.set(method, handler),
      handle: async (method, params) => methods.get(method)?.(params),
    };
  }

  /** Removes a daemon; running daemons respond in its place from then on. */
  detach(address: string): void {
    this.methodsByAddress.delete(address);
  }

  private methodsOf(address: string, caller: Map<string, PeerMethod>): Map<string, PeerMethod> {
    const own = this.methodsByAddress.get(address);
    if (own) return own;
    const others = this.standIns.filter((methods) => methods !== caller);
    return others[Math.floor(this.random.next() * others.length)] ?? caller;
  }

  private async deliver<T>(
    caller: Map<string, PeerMethod>,
    to: PeerAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<T, Failure>> {
    if (this.unreachable.has(to.address)) {
      this.traffic.unanswered += 1;
      await this.clock.sleep(timeoutMs);
      return Err(createFailure(ResultCode.daemonUnreachable, 'no response'));
    }
    const request = JSON.stringify(params);
    const handler = this.methodsOf(to.address, caller).get(method);
    const response = JSON.stringify((await handler?.(JSON.parse(request))) ?? null);
    this.traffic.messages += 1;
    this.traffic.jsonBytes += request.length + response.length + method.length + ENVELOPE_BYTES;
    const parsed = JSON.parse(response) as T;
    return Ok(this.withIncarnationOf(to.address, method, parsed));
  }

  private withIncarnationOf<T>(address: string, method: string, response: T): T {
    const incarnation = this.incarnations.get(address);
    const isIdentified = method === MembershipMethod.exchange || method === MembershipMethod.ping;
    return isIdentified && incarnation ? { ...response, incarnation } : response;
  }
}
