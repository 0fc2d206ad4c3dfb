import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  encodeResponse,
  encodeHello,
  decodeHopMessage,
  encodeRequest,
} from '../forwarding/hopMessages.js';
import type { HopResponse, HopPeer, HopRequest } from '../forwarding/hopMessages.js';
import { ResultCode } from '../runtime/resultCode.js';
import { targetPeer, hopRequest, originPeer } from './support/hopSamples.js';

const hopResponse: HopResponse = {
  code: ResultCode.ok,
  reached: true,
  response: {
    status: 200,
    headers: { 'x-a': '1' },
    body: Buffer.alloc(0),
    endsWithConnection: true,
  },
  load: { inFlight: 1, waiting: 2, limit: 3, serviceMs: 4 },
  shedLevel: 5,
  configurationVersion: 6,
  incarnation: 'run-b',
  message: 'reason',
};

/** Decodes a message after a round trip through JSON, as the receiver does. */
function decodeAfterJson(fields: unknown, local: HopPeer, remote: HopPeer | undefined): unknown {
  return decodeHopMessage(JSON.parse(JSON.stringify(fields)), local, remote);
}

/** `knownRemote` is what the sender knows of the receiver; undefined before its hello. */
function assertRequestDecoded(sent: HopRequest, knownRemote: HopPeer | undefined): unknown {
  const { body, ...rest } = sent;
  const decoded = decodeAfterJson(
    encodeRequest(3, sent, originPeer, knownRemote),
    targetPeer,
    originPeer,
  );
  assert.deepEqual(decoded, { kind: 'request', id: 3, request: rest });
  return body;
}

test('a request is decoded as it was encoded, before and after the hello of the receiver', () => {
  assertRequestDecoded(hopRequest, targetPeer);
  assertRequestDecoded(hopRequest, undefined);
  assertRequestDecoded(
    { ...hopRequest, rootId: hopRequest.callerId, isChildCall: false },
    targetPeer,
  );
});

test('a request for an earlier incarnation is not decoded as one for the current incarnation', () => {
  assertRequestDecoded({ ...hopRequest, incarnation: 'run-earlier' }, targetPeer);
});

test('a response is decoded as it was encoded', () => {
  const { body, ...head } = hopResponse.response;
  assert.equal(body.length, 0);
  const decoded = decodeAfterJson(encodeResponse(3, hopResponse), originPeer, targetPeer);
  assert.deepEqual(decoded, {
    kind: 'answer',
    id: 3,
    response: { ...hopResponse, response: head },
  });
});

const rateLimit = { targetId: 'i-1', startedAt: 1_700_000_000_000, requestsPerSecond: 33.8 };

test('a rate limit and a leaving run are decoded as they were encoded, and a message without one is not longer', () => {
  assertRequestDecoded({ ...hopRequest, rateLimit }, targetPeer);
  const { body, ...head } = hopResponse.response;
  assert.equal(body.length, 0);
  const decoded = decodeAfterJson(
    encodeResponse(3, { ...hopResponse, rateLimit }),
    originPeer,
    targetPeer,
  );
  assert.deepEqual(decoded, {
    kind: 'answer',
    id: 3,
    response: { ...hopResponse, response: head, rateLimit },
  });
  const leavingRun = { targetId: 'i-1', startedAt: 5 };
  const leaving = decodeAfterJson(
    encodeResponse(3, { ...hopResponse, leavingRun }),
    originPeer,
    targetPeer,
  );
  assert.deepEqual(leaving, {
    kind: 'answer',
    id: 3,
    response: { ...hopResponse, response: head, leavingRun },
  });
  const withoutLimit = encodeResponse(3, { ...hopResponse, rateLimit: undefined });
  assert.deepEqual(withoutLimit, encodeResponse(3, hopResponse));
});

test('a request before hello, another protocol version or a malformed message is not decoded', () => {
  const [, protocolVersion, ...rest] = encodeHello(originPeer);
  assert.equal(
    decodeAfterJson(encodeRequest(3, hopRequest, originPeer, targetPeer), targetPeer, undefined),
    undefined,
  );
  assert.equal(
    decodeAfterJson(['hello', protocolVersion + 1, ...rest], targetPeer, undefined),
    undefined,
  );
  assert.equal(decodeAfterJson({ kind: 'ping' }, targetPeer, originPeer), undefined);
  assert.deepEqual(decodeAfterJson(['hello', protocolVersion, ...rest], targetPeer, undefined), {
    kind: 'hello',
    peer: originPeer,
  });
});
