import type { CallResponse, CallRequest, CallTransport, Clock, Endpoint } from '@shallotcroft/core';
import { NetworkTransport } from './networkTransport.js';

/**
 * What is wrong between two ends.
 * `cut`: no connection can be made. `silent`: what is sent is lost and nobody says so.
 * `answerSilent`: the same for the answer. `answerLost`: the connection is reset after the request
 * ran. `truncated`: the answer stops midway. `foreign`: the answer of another request comes.
 */
export type LinkFault = 'cut' | 'silent' | 'answerSilent' | 'answerLost' | 'truncated' | 'foreign';

/** A request as it arrives. */
export interface Arrival {
  path: string;
  request: CallRequest;
  /** Aborted when the other end has gone. */
  signal: AbortSignal;
}

/** Answers requests at one endpoint. */
export type ArrivalHandler = (arrival: Arrival) => Promise<CallResponse>;

/** A request that was sent, whatever became of it. */
export interface SentRequest {
  from: string;
  to: string;
  path: string;
  request: CallRequest;
}

interface SetFault {
  fault: LinkFault;
  left: number;
}

/** Name of an endpoint, as faults and transcripts give it. */
export function nameOf({ address, port }: Endpoint): string {
  return `${address}:${port}`;
}

/** Calls in one process, on a passed-in clock, with faults by link. */
export class CallNetwork {
  private readonly handlers = new Map<string, ArrivalHandler>();

  private readonly faults = new Map<string, SetFault>();

  private readonly interimSenders = new Set<string>();

  private readonly used = new Map<string, Set<string>>();

  private readonly forgotten = new Map<string, Set<string>>();

  /** Told of each request that reaches the other end. */
  onArrival: ((sent: SentRequest) => void) | undefined;

  constructor(
    readonly clock: Clock,
    readonly latencyMs: number,
  ) {}

  /** Answers requests to `at` from now on; daemons send interim answers meanwhile, targets don't. */
  listen(at: Endpoint, handler: ArrivalHandler, sendsInterim: boolean): void {
    this.handlers.set(nameOf(at), handler);
    if (sendsInterim) this.interimSenders.add(nameOf(at));
  }

  /** True when silence of `to` is noticed before the deadline. */
  sendsInterim(to: string): boolean {
    return this.interimSenders.has(to);
  }

  /** Refuses connections to `at` from now on. */
  unlisten(at: Endpoint): void {
    this.handlers.delete(nameOf(at));
  }

  /** Sets what is wrong from `from` to the endpoint `to`, for the next `times` requests. */
  setFault(from: string, to: string, fault: LinkFault, times = Infinity): void {
    this.faults.set(`${from}>${to}`, { fault, left: times });
  }

  /** Makes every link whole again. */
  clearFaults(): void {
    this.faults.clear();
  }

  /**
   * Makes the connections that are open from `from` to `ends` silent for good; new ones work.
   * The end that notices one gives up the others that it holds, as `HttpCallTransport` does.
   */
  forgetConnections(from: string, ends: string[]): void {
    const open = this.used.get(from);
    this.forgotten.set(from, new Set(ends.filter((end) => open?.has(end))));
  }

  /** True when the connection from `from` to `to` is one that is silent for good. */
  isForgotten(from: string, to: string): boolean {
    this.used.set(from, (this.used.get(from) ?? new Set()).add(to));
    return this.forgotten.get(from)?.has(to) ?? false;
  }

  /** The end `from` has noticed that a connection is silent. */
  noticeSilence(from: string): void {
    this.forgotten.delete(from);
  }

  /** The fault that the next request on a link meets. */
  takeFault(from: string, to: string): LinkFault | undefined {
    const set = this.faults.get(`${from}>${to}`) ?? this.faults.get(`*>${to}`);
    if (!set || set.left <= 0) return undefined;
    set.left -= 1;
    return set.fault;
  }

  handlerAt(to: string): ArrivalHandler | undefined {
    return this.handlers.get(to);
  }

  /** The transport of the process `from`. */
  transportOf(from: string): CallTransport {
    return new NetworkTransport(this, from);
  }
}
