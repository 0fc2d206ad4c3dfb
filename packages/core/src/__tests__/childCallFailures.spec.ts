import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '../runtime/manualClock.js';
import { ChildCallFailures } from '../placement/childCallFailures.js';
import { priorityOf } from '../admission/shedLevel.js';

function record(
  failures: ChildCallFailures,
  importance: 'critical' | 'normal',
  share: number,
): void {
  for (let call = 0; call < 100; call++) {
    failures.record('venue', importance, call % 100 < share * 100);
  }
}

test('call trees whose child calls often fail are shed; more important ones are not', () => {
  const failures = new ChildCallFailures(new ManualClock());
  for (let call = 0; call < 100; call++) failures.record('venue', 'normal', call % 2 === 0);
  const level = failures.level('venue');
  assert.ok(priorityOf('normal', 'any caller') < level);
  assert.ok(priorityOf('high', 'any caller') >= level);
  assert.equal(failures.level('other'), 0);
});

test('a few failures shed no call tree, and call trees of the highest importance always start', () => {
  const failures = new ChildCallFailures(new ManualClock());
  for (let call = 0; call < 100; call++) failures.record('venue', 'normal', call % 20 === 0);
  assert.equal(failures.level('venue'), 0);
  record(failures, 'critical', 1);
  assert.equal(failures.level('venue'), 0);
});

test('call trees start again when no child call has failed for a time', async () => {
  const clock = new ManualClock();
  const failures = new ChildCallFailures(clock);
  record(failures, 'normal', 1);
  assert.ok(failures.level('venue') > 0);
  await clock.advance(1600);
  assert.equal(failures.level('venue'), 0);
  failures.record('venue', 'normal', true);
  assert.equal(failures.level('venue'), 0);
});
