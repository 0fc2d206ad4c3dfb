import type { CallResponse, CallHeaders } from '../calls/call.js';
import { importances } from '../configuration/configuration.js';
import type { Importance } from '../configuration/configuration.js';
import type { TargetRun } from '../directory/targetRun.js';
import type { ResultNumber } from '../runtime/resultCode.js';

/** Protocol version; a daemon closes connections of a peer with a different version. */
const HOP_PROTOCOL_VERSION = 2;

/** A request as a daemon sends it to the daemon beside a target. */
export interface HopRequest {
  /** Id of this attempt, unique in the fleet: the sender's incarnation and a number. */
  attemptId: string;
  /** Id that the caller gave its request. */
  callerId: string;
  method: string;
  url: string;
  host: string;
  headers: CallHeaders;
  body: Buffer;
  /** True if the receiver had no room for the body; such a request is rejected. */
  isBodyMissing?: boolean;
  /** Time until the deadline, in milliseconds. */
  remainingMs: number;
  callerService: string;
  importance: Importance;
  /** Id of the request at the root of the call tree. */
  rootId: string;
  /** True when a target made this call while it ran another request. */
  isChildCall: boolean;
  route: string;
  service: string;
  /** Incarnation of the daemon that the request is for; any other incarnation rejects it. */
  incarnation: string;
  /** Version of the configuration that the sender uses. */
  configurationVersion: number;
  /** Port of the sender for control messages. */
  peerPort: number;
  /** Limit that a former incarnation of the receiver reported, in case the receiver has lost it. */
  rateLimit?: TargetRateLimit | undefined;
}

/** Limit that a run of a target named in its responses. */
export interface TargetRateLimit extends TargetRun {
  /** Requests per second from all hosts together. */
  requestsPerSecond: number;
}

/** Load of a target. */
export interface TargetLoad {
  inFlight: number;
  waiting: number;
  limit: number;
  /** Mean response time of the target, in milliseconds. */
  serviceMs: number;
}

/** Response of the daemon beside a target. */
export interface HopResponse {
  /** `ok` when the target responded, even if its response is a failure of its own. */
  code: ResultNumber;
  /** Whether any byte of the request was sent to the target. */
  reached: boolean;
  /** Response of the target; an empty one with status 503 unless `code` is `ok`. */
  response: CallResponse;
  load: TargetLoad;
  shedLevel: number;
  configurationVersion: number;
  incarnation: string;
  /** Why there is no response of the target; empty when `code` is `ok`. */
  message: string;
  /** Limit that the target names; absent without one. */
  rateLimit?: TargetRateLimit | undefined;
  /** The run of the target if it is leaving. */
  leavingRun?: TargetRun | undefined;
}

/** What each end of a connection sends once about itself, so that later messages can omit it. */
export interface HopPeer {
  /** Incarnation of the daemon. */
  incarnation: string;
  /** Its port for control messages. */
  peerPort: number;
  /** Service that runs on its host. */
  service: string;
}

/** A decoded message between two daemons, without the body of a request or response. */
export type HopMessage =
  | { kind: 'hello'; peer: HopPeer }
  | { kind: 'request'; id: number; request: Omit<HopRequest, 'body'> }
  | {
      kind: 'answer';
      id: number;
      response: Omit<HopResponse, 'response'> & { response: ResponseHead };
    }
  | { kind: 'cancel'; id: number }
  | { kind: 'ping' }
  | { kind: 'pong' };

type ResponseHead = Omit<CallResponse, 'body'>;

/*
 * Messages are JSON arrays whose elements are identified by position, and they omit what the peer
 * already knows: bandwidth between data centres is costly, and field names took up most of it.
 */

type HelloTuple = [
  kind: 'hello',
  protocolVersion: number,
  incarnation: string,
  peerPort: number,
  service: string,
];

type RunTuple = [targetId: string, startedAt: number];

type RateLimitTuple = [targetId: string, startedAt: number, requestsPerSecond: number];

type RequestTuple = [
  kind: 'request',
  id: number,
  /** Only the number when the attempt id starts with the sender's incarnation. */
  attempt: number | string,
  callerId: string,
  method: string,
  url: string,
  host: string,
  headers: CallHeaders,
  remainingMs: number,
  /** Index in `importances`. */
  importance: number,
  /** Empty for a request that is its own root. */
  rootId: string,
  isChildCall: 0 | 1,
  route: string,
  service: string,
  /** Empty when the request is for the incarnation that the receiver sent in its hello. */
  incarnation: string,
  configurationVersion: number,
  /** Absent without a limit. */
  rateLimit?: RateLimitTuple,
];

type ResponseTuple = [
  kind: 'answer',
  id: number,
  code: ResultNumber,
  reached: 0 | 1,
  status: number,
  headers: CallHeaders,
  endsWithConnection: 0 | 1,
  inFlight: number,
  waiting: number,
  limit: number,
  serviceMs: number,
  shedLevel: number,
  configurationVersion: number,
  message: string,
  /** Absent without a limit; null if only `leavingRun` is present. */
  rateLimit?: RateLimitTuple | null,
  /** Absent unless the target is leaving. */
  leavingRun?: RunTuple,
];

type ControlTuple = ['cancel', number] | ['ping'] | ['pong'];

function toBit(value: boolean | undefined): 0 | 1 {
  return value ? 1 : 0;
}

function encodeRateLimit(rateLimit: TargetRateLimit): RateLimitTuple {
  return [rateLimit.targetId, rateLimit.startedAt, rateLimit.requestsPerSecond];
}

function decodeRateLimit(tuple: RateLimitTuple | null | undefined): TargetRateLimit | undefined {
  if (!tuple) return undefined;
  const [targetId, startedAt, requestsPerSecond] = tuple;
  return { targetId, startedAt, requestsPerSecond };
}

/** Id of an attempt made by the daemon `peer`. */
export function attemptIdOf({ incarnation }: HopPeer, number: number): string {
  return `${incarnation}-${number}`;
}

/** Encodes the first message on a connection. */
export function encodeHello({ incarnation, peerPort, service }: HopPeer): HelloTuple {
  return ['hello', HOP_PROTOCOL_VERSION, incarnation, peerPort, service];
}

/** Encodes a request without its body; `remote` is undefined until the receiver's hello arrives. */
export function encodeRequest(
  id: number,
  request: HopRequest,
  local: HopPeer,
  remote: HopPeer | undefined,
): RequestTuple {
  const { attemptId, callerId, rootId, incarnation } = request;
  const prefix = `${local.incarnation}-`;
  const limitElements: [] | [RateLimitTuple] = request.rateLimit
    ? [encodeRateLimit(request.rateLimit)]
    : [];
  return [
    'request',
    id,
    attemptId.startsWith(prefix) ? Number(attemptId.slice(prefix.length)) : attemptId,
    callerId,
    request.method,
    request.url,
    request.host,
    request.headers,
    request.remainingMs,
    importances.indexOf(request.importance),
    rootId === callerId ? '' : rootId,
    toBit(request.isChildCall),
    request.route,
    request.service,
    incarnation === remote?.incarnation ? '' : incarnation,
    request.configurationVersion,
    ...limitElements,
  ];
}

/** Elements at the end of a response; none in most responses. */
function encodeNotices({
  rateLimit,
  leavingRun,
}: HopResponse): [] | [RateLimitTuple] | [RateLimitTuple | null, RunTuple] {
  const limitTuple = rateLimit && encodeRateLimit(rateLimit);
  if (leavingRun) return [limitTuple ?? null, [leavingRun.targetId, leavingRun.startedAt]];
  return limitTuple ? [limitTuple] : [];
}

/** Encodes a response without its body. */
export function encodeResponse(id: number, hopResponse: HopResponse): ResponseTuple {
  const { response, load } = hopResponse;
  return [
    'answer',
    id,
    hopResponse.code,
    toBit(hopResponse.reached),
    response.status,
    response.headers,
    toBit(response.endsWithConnection),
    load.inFlight,
    load.waiting,
    load.limit,
    Math.round(load.serviceMs),
    hopResponse.shedLevel,
    hopResponse.configurationVersion,
    hopResponse.message,
    ...encodeNotices(hopResponse),
  ];
}

function decodeRequest(tuple: RequestTuple, local: HopPeer, remote: HopPeer): HopMessage {
  const [, id, attempt, callerId, method, url, host, headers, remainingMs, ...rest] = tuple;
  const [importance, rootId, isChildCall, route, service, incarnation, configurationVersion] = rest;
  const rateLimit = decodeRateLimit(rest[7]);
  return {
    kind: 'request',
    id,
    request: {
      attemptId: typeof attempt === 'number' ? attemptIdOf(remote, attempt) : attempt,
      callerId,
      method,
      url,
      host,
      headers,
      remainingMs,
      callerService: remote.service,
      importance: importances[importance] as Importance,
      rootId: rootId === '' ? callerId : rootId,
      isChildCall: isChildCall === 1,
      route,
      service,
      incarnation: incarnation === '' ? local.incarnation : incarnation,
      configurationVersion,
      peerPort: remote.peerPort,
      ...(rateLimit && { rateLimit }),
    },
  };
}

function decodeResponse(tuple: ResponseTuple, remote: HopPeer): HopMessage {
  const [, id, code, reached, status, headers, endsWithConnection, ...rest] = tuple;
  const [inFlight, waiting, limit, serviceMs, shedLevel, configurationVersion, message] = rest;
  const rateLimit = decodeRateLimit(rest[7]);
  const leavingTuple = rest[8];
  return {
    kind: 'answer',
    id,
    response: {
      code,
      reached: reached === 1,
      response: { status, headers, ...(endsWithConnection === 1 && { endsWithConnection: true }) },
      load: { inFlight, waiting, limit, serviceMs },
      shedLevel,
      configurationVersion,
      incarnation: remote.incarnation,
      message,
      ...(rateLimit && { rateLimit }),
      ...(leavingTuple && {
        leavingRun: { targetId: leavingTuple[0], startedAt: leavingTuple[1] },
      }),
    },
  };
}

/**
 * Decodes a message. Returns undefined for an unknown kind, for a hello with a different protocol
 * version, and for a request or response that arrives before the hello of `remote`. Only the kind
 * is validated, not each field: both ends run the same protocol version, and every request is
 * decoded here.
 */
export function decodeHopMessage(
  fields: unknown,
  local: HopPeer,
  remote: HopPeer | undefined,
): HopMessage | undefined {
  if (!Array.isArray(fields)) return undefined;
  const tuple = fields as HelloTuple | RequestTuple | ResponseTuple | ControlTuple;
  if (tuple[0] === 'hello') {
    const [, protocolVersion, incarnation, peerPort, service] = tuple;
    if (protocolVersion !== HOP_PROTOCOL_VERSION) return undefined;
    return { kind: 'hello', peer: { incarnation, peerPort, service } };
  }
  if (tuple[0] === 'ping' || tuple[0] === 'pong') return { kind: tuple[0] };
  if (tuple[0] === 'cancel') return { kind: 'cancel', id: tuple[1] };
  if (!remote) return undefined;
  if (tuple[0] === 'request') return decodeRequest(tuple, local, remote);
  return tuple[0] === 'answer' ? decodeResponse(tuple, remote) : undefined;
}
