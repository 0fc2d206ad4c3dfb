import type { CallResponse, CallRequest, CallTransport, Clock, Endpoint } from '@shallotcroft/core';
import { NetworkTransport } from './networkTransport.js';

/**
 * Fault of a link.
 * `cut`: no connection can be opened. `silent`: requests are lost without an error.
 * `answerSilent`: responses are lost without an error. `answerLost`: the connection is reset after
 * the request was executed. `truncated`: the response is incomplete. `foreign`: the response
 * belongs to another request.
 */
export type LinkFault = 'cut' | 'silent' | 'answerSilent' | 'answerLost' | 'truncated' | 'foreign';

/** A request at its receiver. */
export interface Arrival {
  path: string;
  request: CallRequest;
  /** Aborted when the sender has disconnected. */
  signal: AbortSignal;
}

/** Handles the requests to one endpoint. */
export type ArrivalHandler = (arrival: Arrival) => Promise<CallResponse>;

/** A request that reached its receiver, whatever its result. */
export interface SentRequest {
  from: string;
  to: string;
  path: string;
  request: CallRequest;
}

interface ActiveFault {
  fault: LinkFault;
  remainingRequests: number;
}

/** Name of an endpoint in faults and transcripts: `address:port`. */
export function endpointNameOf({ address, port }: Endpoint): string {
  return `${address}:${port}`;
}

/** In-memory transport of calls on a given clock, with fault injection for each link. */
export class CallNetwork {
  private readonly handlers = new Map<string, ArrivalHandler>();

  private readonly faults = new Map<string, ActiveFault>();

  private readonly interimSenders = new Set<string>();

  private readonly connectedEnds = new Map<string, Set<string>>();

  private readonly stalledEnds = new Map<string, Set<string>>();

  /** Called for each request that reaches its receiver. */
  onArrival: ((sent: SentRequest) => void) | undefined;

  constructor(
    readonly clock: Clock,
    readonly latencyMs: number,
  ) {}

  /**
   * Handles requests to `at` with `handler`. `sendsInterim` says whether that end sends interim
   * responses: daemons do, targets do not.
   */
  listen(at: Endpoint, handler: ArrivalHandler, sendsInterim: boolean): void {
    this.handlers.set(endpointNameOf(at), handler);
    if (sendsInterim) this.interimSenders.add(endpointNameOf(at));
  }

  /** Whether `to` sends interim responses, so that the idle timeout ends a request early. */
  sendsInterim(to: string): boolean {
    return this.interimSenders.has(to);
  }

  /** Refuses connections to `at`. */
  unlisten(at: Endpoint): void {
    this.handlers.delete(endpointNameOf(at));
  }

  /**
   * Injects a fault into the link from `from` (`*` for any sender) to the endpoint `to`, for the
   * next `times` requests.
   */
  setFault(from: string, to: string, fault: LinkFault, times = Infinity): void {
    this.faults.set(`${from}>${to}`, { fault, remainingRequests: times });
  }

  /** Removes all faults of links. */
  clearFaults(): void {
    this.faults.clear();
  }

  /**
   * Makes the open connections of `from` to `ends` unresponsive; new ones work. When `from` detects
   * one of them, it discards the others as well, as `HttpCallTransport` does.
   */
  stallConnections(from: string, ends: string[]): void {
    const connected = this.connectedEnds.get(from);
    this.stalledEnds.set(from, new Set(ends.filter((end) => connected?.has(end))));
  }

  /** Whether the connection between `from` and `to` is stalled; records that it was used. */
  isStalled(from: string, to: string): boolean {
    this.connectedEnds.set(from, (this.connectedEnds.get(from) ?? new Set()).add(to));
    return this.stalledEnds.get(from)?.has(to) ?? false;
  }

  /** Replaces the stalled connections of `from`, which has detected one of them. */
  discardStalledConnections(from: string): void {
    this.stalledEnds.delete(from);
  }

  /** Returns the fault for the next request on a link and counts it. */
  takeFault(from: string, to: string): LinkFault | undefined {
    const active = this.faults.get(`${from}>${to}`) ?? this.faults.get(`*>${to}`);
    if (!active || active.remainingRequests <= 0) return undefined;
    active.remainingRequests -= 1;
    return active.fault;
  }

  /** Handler of the endpoint `to`; undefined when nothing listens there. */
  handlerAt(to: string): ArrivalHandler | undefined {
    return this.handlers.get(to);
  }

  /** Creates the transport of the process `from`. */
  transportOf(from: string): CallTransport {
    return new NetworkTransport(this, from);
  }
}
