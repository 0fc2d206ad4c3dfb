import type { IncomingHttpHeaders } from 'node:http';
import type { CallHeaders } from '../calls/call.js';

/** Information that a caller sends in the headers of a request. */
export interface CallerFields {
  /** Id that the caller gave to this attempt. */
  id: string;
  /** Id of the request that made this call; undefined when this is not a child call. */
  parentId: string | undefined;
  /** Time until the caller's deadline, in milliseconds; undefined when it sends none. */
  remainingMs: number | undefined;
}

/** A complete request of a caller, as received by the daemon beside it. */
export interface ForwardedRequest extends CallerFields {
  method: string;
  /** Path and query, unchanged. */
  url: string;
  host: string;
  /** End-to-end headers, without those that `headersForTarget` sets. */
  headers: CallHeaders;
  body: Buffer;
}

/** What a target's response shows about the execution of its request. */
export type ResponseClass = 'executed' | 'notExecuted' | 'wrongInstance' | 'damaged';

/** What a target tells about itself in a response. */
export interface TargetNotice {
  /** Requests per second that the target accepts from all hosts together. */
  rateLimit: number | 'none' | 'unreadable';
  /** True when the target is leaving. */
  isLeaving: boolean;
}

/** Information that is sent to the target in addition to the caller's headers. */
export interface TargetEnvelope {
  id: string;
  host: string;
  /** Time until the deadline, in milliseconds. */
  remainingMs: number;
  /** Service on the host of the caller. */
  callerService: string;
  /** Id of the only target that may run the request. */
  targetId: string;
}

/** Reads and writes the headers of callers and targets. */
export abstract class HeaderCodec {
  /** Name of the header with the request id, which responses repeat; in lower case. */
  abstract readonly idHeader: string;

  /** Reads the headers of a caller; undefined when the request has no valid id. */
  abstract readCaller(headers: IncomingHttpHeaders): CallerFields | undefined;

  /** True for headers that `headersForTarget` sets; those of the caller are dropped. */
  abstract isEnvelopeHeader(name: string): boolean;

  /** Headers that are added to those of the caller. */
  abstract headersForTarget(envelope: TargetEnvelope): CallHeaders;

  /** Classifies a complete response of a target. */
  abstract classifyResponse(status: number, headers: CallHeaders): ResponseClass;

  /** Reads what a target tells about itself in the headers of a response. */
  abstract readNotice(headers: CallHeaders): TargetNotice;
}
