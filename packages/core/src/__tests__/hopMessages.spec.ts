import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  answerFields,
  helloFields,
  readHopMessage,
  requestFields,
} from '../forwarding/hopMessages.js';
import type { HopAnswer, HopEnd, HopRequest } from '../forwarding/hopMessages.js';
import { ResultCode } from '../runtime/resultCode.js';

const sender: HopEnd = { incarnation: 'run-a', peerPort: 7001, service: 'circles' };
const guard: HopEnd = { incarnation: 'run-b', peerPort: 7002, service: 'books' };

const request: HopRequest = {
  attemptId: 'run-a-17',
  callerId: 'a.1',
  method: 'POST',
  url: '/books/1?page=2',
  host: 'a.example',
  headers: { accept: '*/*' },
  body: Buffer.alloc(0),
  remainingMs: 5000,
  callerService: 'circles',
  importance: 'high',
  rootId: 'a',
  isInner: true,
  route: 'r-1',
  service: 'books',
  incarnation: 'run-b',
  configurationVersion: 12,
  peerPort: 7001,
};

const answer: HopAnswer = {
  code: ResultCode.ok,
  reached: true,
  answer: { status: 200, headers: { 'x-a': '1' }, body: Buffer.alloc(0), endsWithConnection: true },
  load: { inFlight: 1, waiting: 2, limit: 3, serviceMs: 4 },
  shedLevel: 5,
  configurationVersion: 6,
  incarnation: 'run-b',
  message: 'why',
};

/** What the other end reads of these fields. */
function carried(fields: unknown, own: HopEnd, other: HopEnd | undefined): unknown {
  return readHopMessage(JSON.parse(JSON.stringify(fields)), own, other);
}

function requestRead(sent: HopRequest, known: HopEnd | undefined): unknown {
  const { body, ...rest } = sent;
  const read = carried(requestFields(3, sent, sender, known), guard, sender);
  assert.deepEqual(read, { kind: 'request', id: 3, request: rest });
  return body;
}

test('a request arrives as it was sent, whether or not the other end has said hello', () => {
  requestRead(request, guard);
  requestRead(request, undefined);
  requestRead({ ...request, rootId: request.callerId, isInner: false }, guard);
});

test('a request for an earlier run does not arrive as one for the present run', () => {
  requestRead({ ...request, incarnation: 'run-earlier' }, guard);
});

test('an answer arrives as it was sent', () => {
  const { body, ...head } = answer.answer;
  assert.equal(body.length, 0);
  const read = carried(answerFields(3, answer), sender, guard);
  assert.deepEqual(read, { kind: 'answer', id: 3, answer: { ...answer, answer: head } });
});

test('a message before hello, or of another form, is not read', () => {
  const [, form, ...rest] = helloFields(sender);
  assert.equal(carried(requestFields(3, request, sender, guard), guard, undefined), undefined);
  assert.equal(carried(['hello', form + 1, ...rest], guard, undefined), undefined);
  assert.equal(carried({ kind: 'ping' }, guard, sender), undefined);
  assert.deepEqual(carried(['hello', form, ...rest], guard, undefined), {
    kind: 'hello',
    end: sender,
  });
});
