import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { z } from 'zod';
import type { CallAnswer, CallHeaders } from '../call.js';
import { CallHeader } from '../callHeaders.js';
import { importances } from '../configuration.js';
import type { Execution, Importance } from '../configuration.js';
import { createFailure } from '../failure.js';
import type { Failure } from '../failure.js';
import { ResultCode, resultNameOf } from '../resultCode.js';
import type { ResultNumber } from '../resultCode.js';

/**
 * Header with all that one daemon tells another beside a request or an answer, as JSON: one header
 * costs the HTTP libraries far less than a dozen.
 */
export const HOP_HEADER = 'x-shallotcroft-hop';

/** Path of requests between daemons. */
export const HOP_PATH = '/forward';

/** A request as one daemon passes it to the daemon beside a target. */
export interface HopRequest {
  /** Id of this attempt, unique in the fleet. */
  attemptId: string;
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
  execution: Execution;
  service: string;
  targetId: string;
  incarnation: string;
  configurationVersion: number;
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
  load: TargetLoad | undefined;
  shedLevel: number;
  configurationVersion: number;
  incarnation: string;
  /** Why there is no answer of the target. */
  message: string;
}

const requestSchema = z.object({
  attemptId: z.string().min(1),
  callerId: z.string(),
  method: z.string(),
  url: z.string().min(1),
  host: z.string(),
  remainingMs: z.number(),
  callerService: z.string(),
  importance: z.enum(importances),
  rootId: z.string(),
  isInner: z.boolean(),
  route: z.string(),
  execution: z.enum(['repeatable', 'atMostOnce']),
  service: z.string().min(1),
  targetId: z.string(),
  incarnation: z.string(),
  configurationVersion: z.number(),
  /** Port for control messages of the sender. */
  peerPort: z.int(),
});

const answerSchema = z.object({
  code: z.number().refine((code) => resultNameOf(code) !== undefined),
  reached: z.boolean(),
  status: z.int(),
  load: z
    .object({
      inFlight: z.number(),
      waiting: z.number(),
      limit: z.number(),
      serviceMs: z.number(),
    })
    .optional(),
  shedLevel: z.number(),
  configurationVersion: z.number(),
  incarnation: z.string(),
});

type HopRequestFields = z.infer<typeof requestSchema>;
type HopAnswerFields = z.infer<typeof answerSchema>;

function parseFields<T>(schema: z.ZodType<T>, text: string | undefined): T | undefined {
  if (text === undefined) return undefined;
  try {
    return schema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

/** Headers that carry a request to the next daemon. */
export function encodeHopRequest(request: HopRequest, peerPort: number): CallHeaders {
  const fields: HopRequestFields = {
    attemptId: request.attemptId,
    callerId: request.callerId,
    method: request.method,
    url: request.url,
    host: request.host,
    remainingMs: request.remainingMs,
    callerService: request.callerService,
    importance: request.importance,
    rootId: request.rootId,
    isInner: request.isInner,
    route: request.route,
    execution: request.execution,
    service: request.service,
    targetId: request.targetId,
    incarnation: request.incarnation,
    configurationVersion: request.configurationVersion,
    peerPort,
  };
  return { ...request.headers, [HOP_HEADER]: JSON.stringify(fields) };
}

function withoutHopHeaders(headers: CallHeaders): CallHeaders {
  const kept: CallHeaders = {};
  for (const name in headers) {
    if (name !== HOP_HEADER && name !== CallHeader.request) kept[name] = headers[name] as string;
  }
  return kept;
}

/** A request of another daemon, and the port at which that daemon takes control messages. */
export interface ReceivedHop {
  request: HopRequest;
  peerPort: number;
}

/** Reads a request of another daemon; fails with `badHeader` when it is not one. */
export function decodeHopRequest(headers: CallHeaders, body: Buffer): Result<ReceivedHop, Failure> {
  const fields = parseFields(requestSchema, headers[HOP_HEADER]);
  if (!fields) {
    const message = 'the request of another daemon is not readable; is it of the same release?';
    return Err(createFailure(ResultCode.badHeader, message));
  }
  const { peerPort, ...rest } = fields;
  return Ok({ request: { ...rest, headers: withoutHopHeaders(headers), body }, peerPort });
}

/** The answer as it goes back to the daemon that asked. */
export function encodeHopAnswer(hop: HopAnswer): CallAnswer {
  const fields: HopAnswerFields = {
    code: hop.code,
    reached: hop.reached,
    status: hop.answer.status,
    load: hop.load,
    shedLevel: hop.shedLevel,
    configurationVersion: hop.configurationVersion,
    incarnation: hop.incarnation,
  };
  const headers = { ...hop.answer.headers, [HOP_HEADER]: JSON.stringify(fields) };
  const body = hop.code === ResultCode.ok ? hop.answer.body : Buffer.from(hop.message);
  return { status: 200, headers, body };
}

/** Reads the answer of another daemon; undefined when no daemon gave it. */
export function decodeHopAnswer(answer: CallAnswer): HopAnswer | undefined {
  const fields = parseFields(answerSchema, answer.headers[HOP_HEADER]);
  if (!fields) return undefined;
  return {
    code: fields.code as ResultNumber,
    reached: fields.reached,
    answer: {
      status: fields.status,
      headers: withoutHopHeaders(answer.headers),
      body: answer.body,
    },
    load: fields.load,
    shedLevel: fields.shedLevel,
    configurationVersion: fields.configurationVersion,
    incarnation: fields.incarnation,
    message: fields.code === ResultCode.ok ? '' : answer.body.toString('utf8'),
  };
}
