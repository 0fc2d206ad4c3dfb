import type { CallAnswer, CallHeaders } from '../calls/call.js';
import type { Importance } from '../configuration/configuration.js';
import type { ResultNumber } from '../runtime/resultCode.js';

/** A request as one daemon passes it to the daemon beside a target. */
export interface HopRequest {
  /** Id of this attempt, unique in the fleet. */
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
  isInner: boolean;
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
export interface HopAnswer {
  /** `ok` when the target answered; its answer may still be a failure of its own. */
  code: ResultNumber;
  /** Whether any byte of the request went to the target. */
  reached: boolean;
  answer: CallAnswer;
  load: TargetLoad;
  shedLevel: number;
  configurationVersion: number;
  incarnation: string;
  /** Why there is no answer of the target. */
  message: string;
}

/** Fields of a message between two daemons; the body of a request or an answer follows them. */
export type HopFields =
  | { kind: 'request'; id: number; request: Omit<HopRequest, 'body'> }
  | { kind: 'answer'; id: number; answer: HopAnswerFields }
  | { kind: 'cancel'; id: number }
  | { kind: 'ping' }
  | { kind: 'pong' };

interface HopAnswerFields extends Omit<HopAnswer, 'answer'> {
  answer: Omit<CallAnswer, 'body'>;
}

const kinds = new Set(['request', 'answer', 'cancel', 'ping', 'pong']);

/**
 * Reads the fields of a message; undefined when they are of another kind. Both ends run the same
 * release, so the kind is checked and not each field: that is done for every request.
 */
export function readHopFields(fields: unknown): HopFields | undefined {
  const { kind } = (fields ?? {}) as { kind?: unknown };
  return typeof kind === 'string' && kinds.has(kind) ? (fields as HopFields) : undefined;
}

/** Fields of a request, without its body. */
export function requestFields(id: number, request: HopRequest): HopFields {
  const { body, ...rest } = request;
  return { kind: 'request', id, request: rest };
}

/** Fields of an answer, without its body. */
export function answerFields(id: number, hop: HopAnswer): HopFields {
  const { body, ...answer } = hop.answer;
  return { kind: 'answer', id, answer: { ...hop, answer } };
}
