import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  answerFields,
  helloFields,
  readHopMessage,
  requestFields,
} from '../forwarding/hopMessages.js';
import type { HopResponse, HopPeer, HopRequest } from '../forwarding/hopMessages.js';
import { ResultCode } from '../runtime/resultCode.js';
import { guardEnd, hopRequest, originEnd } from './support/hopSamples.js';

const response: HopResponse = {
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
  message: 'why',
};

/** What the other end reads of these fields. */
function carried(fields: unknown, own: HopPeer, other: HopPeer | undefined): unknown {
  return readHopMessage(JSON.parse(JSON.stringify(fields)), own, other);
}

function requestRead(sent: HopRequest, known: HopPeer | undefined): unknown {
  const { body, ...rest } = sent;
  const read = carried(requestFields(3, sent, originEnd, known), guardEnd, originEnd);
  assert.deepEqual(read, { kind: 'request', id: 3, request: rest });
  return body;
}

test('a request arrives as it was sent, whether or not the other end has said hello', () => {
  requestRead(hopRequest, guardEnd);
  requestRead(hopRequest, undefined);
  requestRead({ ...hopRequest, rootId: hopRequest.callerId, isChildCall: false }, guardEnd);
});

test('a request for an earlier run does not arrive as one for the present run', () => {
  requestRead({ ...hopRequest, incarnation: 'run-earlier' }, guardEnd);
});

test('an answer arrives as it was sent', () => {
  const { body, ...head } = response.response;
  assert.equal(body.length, 0);
  const read = carried(answerFields(3, response), originEnd, guardEnd);
  assert.deepEqual(read, { kind: 'answer', id: 3, answer: { ...response, response: head } });
});

test('a message before hello, or of another form, is not read', () => {
  const [, form, ...rest] = helloFields(originEnd);
  assert.equal(
    carried(requestFields(3, hopRequest, originEnd, guardEnd), guardEnd, undefined),
    undefined,
  );
  assert.equal(carried(['hello', form + 1, ...rest], guardEnd, undefined), undefined);
  assert.equal(carried({ kind: 'ping' }, guardEnd, originEnd), undefined);
  assert.deepEqual(carried(['hello', form, ...rest], guardEnd, undefined), {
    kind: 'hello',
    end: originEnd,
  });
});
