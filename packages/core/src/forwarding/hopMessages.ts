import type { CallResponse, CallHeaders } from '../calls/call.js';
import { importances } from '../configuration/configuration.js';
import type { Importance } from '../configuration/configuration.js';
import type { ResultNumber } from '../runtime/resultCode.js';

/** Form of the messages; daemons of another form do not understand each other. */
const HOP_PROTOCOL = 2;

/** A request as one daemon passes it to the daemon beside a target. */
export interface HopRequest {
  /** Id of this attempt, unique in the fleet: the sender's run and a number. */
  attemptId: string;
  /** Id that the caller gave its request. */
  callerId: string;
  method: string;
  url: string;
  host: string;
  headers: CallHeaders;
  body: Buffer;
  remainingMs: number;
  callerService: string;
  importance: Importance;
  /** Id of the request at the root of the tree. */
  rootId: string;
  /** True when another request's target made this call. */
  isChildCall: boolean;
  route: string;
  service: string;
  /** Run of the daemon that the request is for; another run refuses it. */
  incarnation: string;
  /** Version of the configuration that the sender has in force. */
  configurationVersion: number;
  /** Port for control messages of the sender. */
  peerPort: number;
}

/** How much a target has to do. */
export interface TargetLoad {
  inFlight: number;
  waiting: number;
  limit: number;
  /** Mean time at the target, in milliseconds. */
  serviceMs: number;
}

/** What the daemon beside a target answers. */
export interface HopResponse {
  /** `ok` when the target answered; its answer may still be a failure of its own. */
  code: ResultNumber;
  /** Whether any byte of the request went to the target. */
  reached: boolean;
  response: CallResponse;
  load: TargetLoad;
  shedLevel: number;
  configurationVersion: number;
  incarnation: string;
  /** Why there is no answer of the target. */
  message: string;
}

/** What each end of a connection tells the other once, so that messages need not repeat it. */
export interface HopPeer {
  /** Id of this run of the daemon. */
  incarnation: string;
  /** Port for its control messages. */
  peerPort: number;
  /** Service that runs on its host. */
  service: string;
}

/** A message between two daemons, without the body of a request or an answer. */
export type HopMessage =
  | { kind: 'hello'; end: HopPeer }
  | { kind: 'request'; id: number; request: Omit<HopRequest, 'body'> }
  | { kind: 'answer'; id: number; answer: Omit<HopResponse, 'response'> & { response: AnswerHead } }
  | { kind: 'cancel'; id: number }
  | { kind: 'ping' }
  | { kind: 'pong' };

type AnswerHead = Omit<CallResponse, 'body'>;

/*
 * Messages are arrays whose places have a fixed meaning, and leave out what the other end knows:
 * links between data centres cost, and the names of the fields were most of what went over them.
 */

type HelloFields = ['hello', number, string, number, string];

type RequestFields = [
  kind: 'request',
  id: number,
  /** The number alone where the rest is the sender's run. */
  attempt: number | string,
  callerId: string,
  method: string,
  url: string,
  host: string,
  headers: CallHeaders,
  remainingMs: number,
  importance: number,
  /** Empty for a request that is its own root. */
  rootId: string,
  isInner: 0 | 1,
  route: string,
  service: string,
  /** Empty where the request is for the run that said hello. */
  incarnation: string,
  configurationVersion: number,
];

type AnswerFields = [
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
];

type SmallFields = ['cancel', number] | ['ping'] | ['pong'];

function bit(value: boolean | undefined): 0 | 1 {
  return value ? 1 : 0;
}

/** Id of an attempt that this end makes. */
export function attemptIdOf({ incarnation }: HopPeer, number: number): string {
  return `${incarnation}-${number}`;
}

/** Fields of the first message on a connection. */
export function helloFields({ incarnation, peerPort, service }: HopPeer): HelloFields {
  return ['hello', HOP_PROTOCOL, incarnation, peerPort, service];
}

/** Fields of a request, without its body; `other` is the end that it goes to, once it is known. */
export function requestFields(
  id: number,
  request: HopRequest,
  own: HopPeer,
  other: HopPeer | undefined,
): RequestFields {
  const { attemptId, callerId, rootId, incarnation } = request;
  const prefix = `${own.incarnation}-`;
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
    bit(request.isChildCall),
    request.route,
    request.service,
    incarnation === other?.incarnation ? '' : incarnation,
    request.configurationVersion,
  ];
}

/** Fields of an answer, without its body. */
export function answerFields(id: number, hop: HopResponse): AnswerFields {
  const { response, load } = hop;
  return [
    'answer',
    id,
    hop.code,
    bit(hop.reached),
    response.status,
    response.headers,
    bit(response.endsWithConnection),
    load.inFlight,
    load.waiting,
    load.limit,
    Math.round(load.serviceMs),
    hop.shedLevel,
    hop.configurationVersion,
    hop.message,
  ];
}

function requestOf(fields: RequestFields, own: HopPeer, other: HopPeer): HopMessage {
  const [, id, attempt, callerId, method, url, host, headers, remainingMs, ...rest] = fields;
  const [importance, rootId, isChildCall, route, service, incarnation, configurationVersion] = rest;
  return {
    kind: 'request',
    id,
    request: {
      attemptId: typeof attempt === 'number' ? attemptIdOf(other, attempt) : attempt,
      callerId,
      method,
      url,
      host,
      headers,
      remainingMs,
      callerService: other.service,
      importance: importances[importance] as Importance,
      rootId: rootId === '' ? callerId : rootId,
      isChildCall: isChildCall === 1,
      route,
      service,
      incarnation: incarnation === '' ? own.incarnation : incarnation,
      configurationVersion,
      peerPort: other.peerPort,
    },
  };
}

function answerOf(fields: AnswerFields, other: HopPeer): HopMessage {
  const [, id, code, reached, status, headers, endsWithConnection, ...rest] = fields;
  const [inFlight, waiting, limit, serviceMs, shedLevel, configurationVersion, message] = rest;
  return {
    kind: 'answer',
    id,
    answer: {
      code,
      reached: reached === 1,
      response: { status, headers, ...(endsWithConnection === 1 && { endsWithConnection: true }) },
      load: { inFlight, waiting, limit, serviceMs },
      shedLevel,
      configurationVersion,
      incarnation: other.incarnation,
      message,
    },
  };
}

/**
 * Reads a message; undefined when it is of another form, or comes before the other end has said
 * hello. Both ends run the same form, so its kind is checked and not each field: that is done for
 * every request.
 */
export function readHopMessage(
  fields: unknown,
  own: HopPeer,
  other: HopPeer | undefined,
): HopMessage | undefined {
  if (!Array.isArray(fields)) return undefined;
  const known = fields as HelloFields | RequestFields | AnswerFields | SmallFields;
  if (known[0] === 'hello') {
    const [, form, incarnation, peerPort, service] = known;
    if (form !== HOP_PROTOCOL) return undefined;
    return { kind: 'hello', end: { incarnation, peerPort, service } };
  }
  if (known[0] === 'ping' || known[0] === 'pong') return { kind: known[0] };
  if (known[0] === 'cancel') return { kind: 'cancel', id: known[1] };
  if (!other) return undefined;
  if (known[0] === 'request') return requestOf(known, own, other);
  return known[0] === 'answer' ? answerOf(known, other) : undefined;
}
