import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Result } from 'ts-results-es';
import type { AdmissionRequest, AdmissionSettings, Permit } from '../admission.js';
import type { Failure } from '../failure.js';
import { ManualClock } from '../manualClock.js';
import { ResultCode } from '../resultCode.js';
import { createAdmission } from '../targetAdmission.js';

const settings: AdmissionSettings = { limit: 'fixed', slots: 1, objective: 'goodput' };

function requestOf(overrides: Partial<AdmissionRequest> = {}): AdmissionRequest {
  return {
    importance: 'normal',
    caller: 'someone',
    deadlineAt: 10_000,
    signal: new AbortController().signal,
    ...overrides,
  };
}

function codeOf(result: Result<Permit, Failure>): number {
  return result.isOk() ? ResultCode.ok : result.error.code;
}

test('a caller that has gone leaves the waiting room', async () => {
  const admission = createAdmission({ clock: new ManualClock(), settings });
  await admission.enter(requestOf());
  const gone = new AbortController();
  const waiting = admission.enter(requestOf({ signal: gone.signal }));
  assert.equal(admission.load().waiting, 1);
  gone.abort();
  assert.equal(codeOf(await waiting), ResultCode.notRunCancelled);
  assert.equal(admission.load().waiting, 0);
});

test('the more important call is admitted first, and a slot given back twice counts once', async () => {
  const admission = createAdmission({ clock: new ManualClock(), settings });
  const first = (await admission.enter(requestOf())).unwrap();
  const low = admission.enter(requestOf({ importance: 'low' }));
  const critical = admission.enter(requestOf({ importance: 'critical' }));
  first.release('completed');
  first.release('completed');
  assert.equal(codeOf(await critical), ResultCode.ok);
  assert.deepEqual(admission.load(), { inFlight: 1, waiting: 1, limit: 1 });
  (await critical).unwrap().release('completed');
  assert.equal(codeOf(await low), ResultCode.ok);
});

test('work that can no longer be of use is not begun', async () => {
  const clock = new ManualClock();
  const admission = createAdmission({ clock, settings });
  const slow = (await admission.enter(requestOf())).unwrap();
  const waiting = admission.enter(requestOf({ deadlineAt: 450 }));
  await clock.advance(400);
  slow.release('completed');
  assert.equal(codeOf(await waiting), ResultCode.notRunDeadline);
  const short = admission.enter(requestOf({ deadlineAt: clock.now() + 100 }));
  assert.equal(codeOf(await short), ResultCode.notRunDeadline);
});

test('a closed admission refuses those who wait and those who come', async () => {
  const admission = createAdmission({ clock: new ManualClock(), settings });
  await admission.enter(requestOf());
  const waiting = admission.enter(requestOf());
  admission.close();
  assert.equal(codeOf(await waiting), ResultCode.notRunDraining);
  assert.equal(codeOf(await admission.enter(requestOf())), ResultCode.notRunDraining);
});

test('the wait is bounded', async () => {
  const clock = new ManualClock();
  const admission = createAdmission({ clock, settings });
  await admission.enter(requestOf());
  const waiting = admission.enter(requestOf({ deadlineAt: 60_000 }));
  await clock.advance(5000);
  assert.equal(codeOf(await waiting), ResultCode.notRunQueueTimeout);
});
