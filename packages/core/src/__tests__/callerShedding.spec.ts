import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createCallerShedding } from '../admission/callerShedding.js';
import { ManualClock } from '../runtime/manualClock.js';
import { createSeededRandom } from '../runtime/random.js';

const LEVEL = 300;

function createRemembering() {
  const clock = new ManualClock();
  const shedding = createCallerShedding(clock, createSeededRandom(7));
  shedding.learn('target', LEVEL);
  return { clock, shedding };
}

test('places below the level are refused but for a trickle, the others never', () => {
  const { shedding } = createRemembering();
  let sent = 0;
  for (let call = 0; call < 10_000; call++) {
    if (!shedding.shouldShed('target', LEVEL - 1)) sent += 1;
    assert.equal(shedding.shouldShed('target', LEVEL), false);
  }
  assert.ok(sent > 0 && sent < 1000, `${sent} were sent`);
});

test('a level without news is forgotten, so that a stopped flow recovers', async () => {
  const { clock, shedding } = createRemembering();
  assert.equal(shedding.levelOf('target'), LEVEL);
  await clock.advance(3000);
  assert.equal(shedding.levelOf('target'), 0);
});

test('the least level of several targets counts, and an unknown target has none', () => {
  const { shedding } = createRemembering();
  shedding.learn('other', LEVEL - 100);
  assert.equal(shedding.leastLevelOf(['target', 'other']), LEVEL - 100);
  assert.equal(shedding.leastLevelOf(['target', 'unknown']), 0);
  shedding.learn('target', 0);
  assert.equal(shedding.levelOf('target'), 0);
});
