import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createCallerShedding } from '../admission/callerShedding.js';
import { ManualClock } from '../runtime/manualClock.js';
import { createSeededRandom } from '../runtime/random.js';

const LEVEL = 300;

function createSheddingWithLevel() {
  const clock = new ManualClock();
  const shedding = createCallerShedding(clock, createSeededRandom(7));
  shedding.recordLevel('target', LEVEL);
  return { clock, shedding };
}

test('calls below the level are shed except for a few probes; calls at the level never are', () => {
  const { shedding } = createSheddingWithLevel();
  let sent = 0;
  for (let call = 0; call < 10_000; call++) {
    if (!shedding.shouldShed('target', LEVEL - 1)) sent += 1;
    assert.equal(shedding.shouldShed('target', LEVEL), false);
  }
  assert.ok(sent > 0 && sent < 1000, `${sent} were sent`);
});

test('a level that no response renews decays, so that a caller that shed all calls sends again', async () => {
  const { clock, shedding } = createSheddingWithLevel();
  assert.equal(shedding.levelOf('target'), LEVEL);
  await clock.advance(3000);
  assert.equal(shedding.levelOf('target'), 0);
});

test('the lowest level of several targets applies, and an unknown target has none', () => {
  const { shedding } = createSheddingWithLevel();
  shedding.recordLevel('other', LEVEL - 100);
  assert.equal(shedding.lowestLevelOf(['target', 'other']), LEVEL - 100);
  assert.equal(shedding.lowestLevelOf(['target', 'unknown']), 0);
  shedding.recordLevel('target', 0);
  assert.equal(shedding.levelOf('target'), 0);
});
