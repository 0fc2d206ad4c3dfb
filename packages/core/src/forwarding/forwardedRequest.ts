import type { IncomingHttpHeaders } from 'node:http';
import type { CallHeaders } from '../calls/call.js';

/** What a caller tells in the headers of a request. */
export interface CallerFields {
  /** Id that the caller gave to this attempt of its own. */
  id: string;
  /** Id of the request for which a target made this call, when it is one. */
  parentId: string | undefined;
  /** How long the caller waits, in milliseconds; undefined when it does not say. */
  remainingMs: number | undefined;
}

/** A whole request of a caller, as the origin daemon took it in. */
export interface ForwardedRequest extends CallerFields {
  method: string;
  /** Path and query, unchanged. */
  url: string;
  host: string;
  /** End-to-end headers, without those that the target is told anew. */
  headers: CallHeaders;
  body: Buffer;
}

/** What a target's answer says of the request. */
export type ResponseVerdict = 'executed' | 'notExecuted' | 'wrongInstance' | 'damaged';

/** What the target is told besides the caller's own headers. */
export interface TargetEnvelope {
  id: string;
  host: string;
  /** Time left, in milliseconds. */
  remainingMs: number;
  /** Service that runs on the host where the request began. */
  callerService: string;
  /** The one target that may run the request. */
  targetId: string;
}

/** How callers and targets put in headers what the daemons need to know. */
export abstract class HeaderCodec {
  /** Header with the id of a request, which answers repeat; in lower case. */
  abstract readonly idHeader: string;

  /** Who asks, and for how long; undefined when the request carries no valid id. */
  abstract readCaller(headers: IncomingHttpHeaders): CallerFields | undefined;

  /** True for headers that `headersForTarget` sets, whatever the caller sent. */
  abstract isEnvelopeHeader(name: string): boolean;

  /** Headers for the target, added to the caller's. */
  abstract headersForTarget(envelope: TargetEnvelope): CallHeaders;

  /** What an answer that arrived whole says of its request. */
  abstract verdictOf(status: number, headers: CallHeaders): ResponseVerdict;
}
