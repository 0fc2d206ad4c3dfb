import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Result } from 'ts-results-es';
import type { AdmissionRequest, AdmissionSettings, Permit } from '../admission/admission.js';
import { importances } from '../configuration/configuration.js';
import type { Importance } from '../configuration/configuration.js';
import type { Failure } from '../runtime/failure.js';
import { ManualClock } from '../runtime/manualClock.js';
import { ResultCode } from '../runtime/resultCode.js';
import { PRIORITIES_PER_IMPORTANCE, priorityOf } from '../admission/shedLevel.js';
import { createAdmission } from '../admission/targetAdmission.js';

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

function lowestPriorityOf(importance: Importance): number {
  return (importances.length - 1 - importances.indexOf(importance)) * PRIORITIES_PER_IMPORTANCE;
}

test('a call whose caller cancels it leaves the admission queue', async () => {
  const admission = createAdmission({ clock: new ManualClock(), settings });
  await admission.enter(requestOf());
  const cancellation = new AbortController();
  const waiting = admission.enter(requestOf({ signal: cancellation.signal }));
  assert.equal(admission.load().waiting, 1);
  cancellation.abort();
  assert.equal(codeOf(await waiting), ResultCode.notRunCancelled);
  assert.equal(admission.load().waiting, 0);
});

test('the more important call is admitted first, and a permit released twice returns one slot', async () => {
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

test('a call that cannot respond before its deadline is not started', async () => {
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

test('a closed admission rejects queued and new calls', async () => {
  const admission = createAdmission({ clock: new ManualClock(), settings });
  await admission.enter(requestOf());
  const waiting = admission.enter(requestOf());
  admission.close();
  assert.equal(codeOf(await waiting), ResultCode.notRunDraining);
  assert.equal(codeOf(await admission.enter(requestOf())), ResultCode.notRunDraining);
});

test('a call is not queued longer than the longest wait of the objective', async () => {
  const clock = new ManualClock();
  const admission = createAdmission({ clock, settings });
  await admission.enter(requestOf());
  const waiting = admission.enter(requestOf({ deadlineAt: 60_000 }));
  await clock.advance(5000);
  assert.equal(codeOf(await waiting), ResultCode.notRunQueueTimeout);
});

test('a call below the downstream shed level is not started, neither on arrival nor from the queue', async () => {
  let level = 0;
  const downstreamShedLevel = () => level;
  const admission = createAdmission({ clock: new ManualClock(), settings });
  const first = (await admission.enter(requestOf())).unwrap();
  const waiting = admission.enter(requestOf({ importance: 'low', downstreamShedLevel }));
  level = priorityOf('normal', 'someone');
  first.release('completed');
  assert.equal(codeOf(await waiting), ResultCode.notRunShed);
  assert.equal(
    codeOf(await admission.enter(requestOf({ importance: 'low', downstreamShedLevel }))),
    ResultCode.notRunShed,
  );
  assert.equal(codeOf(await admission.enter(requestOf({ downstreamShedLevel }))), ResultCode.ok);
});

test('the shed level rises under overload, but not above the lowest critical priority, and falls again', async () => {
  const clock = new ManualClock();
  const admission = createAdmission({ clock, settings: { ...settings, slots: 4 } });
  const arrive = async (importance: Importance, caller: string) => {
    const permit = await admission.enter(
      requestOf({ importance, caller, deadlineAt: clock.now() + 1000 }),
    );
    if (permit.isErr()) return;
    clock.startTimer(20, () => permit.value.release('completed'));
  };
  for (let call = 0; call < 1000; call++) {
    arrive(call % 10 === 0 ? 'critical' : 'low', `caller-${call % 97}`).catch(assert.fail);
    await clock.advance(2);
  }
  assert.ok(admission.shedLevel() > 0);
  assert.ok(admission.shedLevel() <= lowestPriorityOf('critical'));
  await clock.advance(5000);
  assert.equal(admission.shedLevel(), 0);
});

test('when a queued call times out, all calls of lower priority are shed', async () => {
  const clock = new ManualClock();
  const admission = createAdmission({ clock, settings });
  await admission.enter(requestOf());
  const high = admission.enter(requestOf({ importance: 'high', deadlineAt: 60_000 }));
  await clock.advance(500);
  const low = admission.enter(requestOf({ importance: 'low', deadlineAt: 60_000 }));
  await clock.advance(500);
  assert.equal(codeOf(await high), ResultCode.notRunQueueTimeout);
  assert.equal(codeOf(await low), ResultCode.notRunShed);
});

test('a child call is admitted before root calls of its importance, after more important ones, and shed in that order', async () => {
  const clock = new ManualClock();
  const admission = createAdmission({ clock, settings });
  const permit = (await admission.enter(requestOf())).unwrap();
  const order: string[] = [];
  const enter = async (name: string, overrides: Partial<AdmissionRequest>): Promise<void> => {
    const result = await admission.enter(requestOf({ caller: name, ...overrides }));
    order.push(`${name} ${result.isOk() ? 'admitted' : 'shed'}`);
    if (result.isOk()) result.value.release('completed');
  };
  const entered = [
    enter('second', { importance: 'normal' }),
    enter('inner', { importance: 'normal', isChildCall: true }),
    enter('root', { importance: 'critical' }),
    enter('outer', { importance: 'critical', isChildCall: true }),
    // One call more than the admission queue of a single slot holds.
    enter('last', { importance: 'low', isChildCall: true }),
  ];
  permit.release('completed');
  await Promise.all(entered);
  assert.deepEqual(order, [
    'last shed',
    'outer admitted',
    'root admitted',
    'inner admitted',
    'second admitted',
  ]);
});

test('a short call is admitted by its own shortest remaining time, not by the mean of long calls', async () => {
  const clock = new ManualClock();
  const admission = createAdmission({ clock, settings: { ...settings, slots: 4 } });
  const long = (await admission.enter(requestOf())).unwrap();
  await clock.advance(800);
  long.release('completed');
  const deadlineAt = clock.now() + 300;
  assert.equal(codeOf(await admission.enter(requestOf({ deadlineAt }))), ResultCode.notRunDeadline);
  const short = await admission.enter(requestOf({ deadlineAt, minRemainingMs: 10 }));
  assert.equal(codeOf(short), ResultCode.ok);
});
