import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { CallAnswer, CallHeaders } from '../call.js';
import { CallHeader } from '../callHeaders.js';
import { importances } from '../configuration.js';
import type { Execution, Importance } from '../configuration.js';
import { createFailure } from '../failure.js';
import type { Failure } from '../failure.js';
import { ResultCode, resultNameOf } from '../resultCode.js';
import type { ResultNumber } from '../resultCode.js';

/** Headers between two daemons, besides those of the call protocol. */
export const HopHeader = {
  method: 'x-shallotcroft-method',
  url: 'x-shallotcroft-url',
  host: 'x-shallotcroft-host',
  /** Id that the caller gave its request. */
  callerId: 'x-shallotcroft-caller-id',
  service: 'x-shallotcroft-service',
  target: 'x-shallotcroft-target',
  /** Run of the daemon that the request is for; another run refuses it. */
  incarnation: 'x-shallotcroft-incarnation',
  execution: 'x-shallotcroft-execution',
  /** Version of the configuration that the sender has in force. */
  configuration: 'x-shallotcroft-configuration',
  /** Port for control messages of the sender. */
  peerPort: 'x-shallotcroft-peer-port',
  /** Status of the target's answer. */
  status: 'x-shallotcroft-status',
  /** `1` when bytes of the request went to the target. */
  reached: 'x-shallotcroft-reached',
  /** Requests at the target, waiting for it, and its limit: `3/0/15`. */
  load: 'x-shallotcroft-load',
  /** Mean time that the target took of late, in milliseconds. */
  serviceMs: 'x-shallotcroft-service-ms',
} as const;

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

const hopPrefix = 'x-shallotcroft-';

function isOwnHeader(name: string): boolean {
  return name.startsWith(hopPrefix);
}

function withoutOwnHeaders(headers: CallHeaders): CallHeaders {
  const kept: CallHeaders = {};
  for (const name in headers) if (!isOwnHeader(name)) kept[name] = headers[name] as string;
  return kept;
}

/** Headers that carry a request to the next daemon. */
export function encodeHopRequest(request: HopRequest, peerPort: number): CallHeaders {
  return {
    ...withoutOwnHeaders(request.headers),
    [HopHeader.method]: request.method,
    [HopHeader.url]: request.url,
    [HopHeader.host]: request.host,
    [HopHeader.callerId]: request.callerId,
    [HopHeader.service]: request.service,
    [HopHeader.target]: request.targetId,
    [HopHeader.incarnation]: request.incarnation,
    [HopHeader.execution]: request.execution,
    [HopHeader.configuration]: String(request.configurationVersion),
    [HopHeader.peerPort]: String(peerPort),
    [CallHeader.deadline]: String(request.remainingMs),
    [CallHeader.caller]: request.callerService,
    [CallHeader.importance]: request.importance,
  };
}

function numberIn(headers: CallHeaders, name: string): number {
  const value = Number(headers[name] ?? Number.NaN);
  return Number.isFinite(value) ? value : 0;
}

/** Reads a request of another daemon; fails with `badHeader` when one is missing. */
export function decodeHopRequest(headers: CallHeaders, body: Buffer): Result<HopRequest, Failure> {
  const importance = importances.find((known) => known === headers[CallHeader.importance]);
  const attemptId = headers[CallHeader.request];
  const service = headers[HopHeader.service];
  const url = headers[HopHeader.url];
  if (!importance || !attemptId || !service || !url) {
    const message = 'the request of another daemon lacks a header; is it of the same release?';
    return Err(createFailure(ResultCode.badHeader, message));
  }
  return Ok({
    attemptId,
    callerId: headers[HopHeader.callerId] ?? '',
    method: headers[HopHeader.method] ?? 'GET',
    url,
    host: headers[HopHeader.host] ?? '',
    headers: withoutOwnHeaders(headers),
    body,
    remainingMs: numberIn(headers, CallHeader.deadline),
    callerService: headers[CallHeader.caller] ?? '',
    importance,
    execution: headers[HopHeader.execution] === 'atMostOnce' ? 'atMostOnce' : 'repeatable',
    service,
    targetId: headers[HopHeader.target] ?? '',
    incarnation: headers[HopHeader.incarnation] ?? '',
    configurationVersion: numberIn(headers, HopHeader.configuration),
  });
}

/** The answer as it goes back to the daemon that asked. */
export function encodeHopAnswer(hop: HopAnswer): CallAnswer {
  const headers: CallHeaders = {
    ...withoutOwnHeaders(hop.answer.headers),
    [CallHeader.code]: String(hop.code),
    [CallHeader.shedLevel]: String(hop.shedLevel),
    [HopHeader.status]: String(hop.answer.status),
    [HopHeader.reached]: hop.reached ? '1' : '0',
    [HopHeader.configuration]: String(hop.configurationVersion),
    [HopHeader.incarnation]: hop.incarnation,
  };
  if (hop.load) {
    const { inFlight, waiting, limit, serviceMs } = hop.load;
    headers[HopHeader.load] = `${inFlight}/${waiting}/${limit}`;
    headers[HopHeader.serviceMs] = serviceMs.toFixed(1);
  }
  const body = hop.code === ResultCode.ok ? hop.answer.body : Buffer.from(hop.message);
  return { status: 200, headers, body };
}

function decodeLoad(headers: CallHeaders): TargetLoad | undefined {
  const parts = headers[HopHeader.load]?.split('/').map(Number);
  if (parts?.length !== 3 || !parts.every(Number.isFinite)) return undefined;
  const [inFlight, waiting, limit] = parts as [number, number, number];
  return { inFlight, waiting, limit, serviceMs: numberIn(headers, HopHeader.serviceMs) };
}

/** Reads the answer of another daemon; undefined when no daemon gave it. */
export function decodeHopAnswer(answer: CallAnswer): HopAnswer | undefined {
  const { headers } = answer;
  const code = Number(headers[CallHeader.code] ?? Number.NaN);
  if (resultNameOf(code) === undefined) return undefined;
  return {
    code: code as ResultNumber,
    reached: headers[HopHeader.reached] === '1',
    answer: {
      status: numberIn(headers, HopHeader.status),
      headers: withoutOwnHeaders(headers),
      body: answer.body,
    },
    load: decodeLoad(headers),
    shedLevel: numberIn(headers, CallHeader.shedLevel),
    configurationVersion: numberIn(headers, HopHeader.configuration),
    incarnation: headers[HopHeader.incarnation] ?? '',
    message: code === ResultCode.ok ? '' : answer.body.toString('utf8'),
  };
}
