import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RequestTrees } from '../forwarding/requestTrees.js';
import { ManualClock } from '../runtime/manualClock.js';
import { ChildCallFailures } from '../placement/childCallFailures.js';
import { RouteShedLevels } from '../placement/routeShedLevels.js';
import { createSeededRandom } from '../runtime/random.js';

/** Levels at a host whose target calls `venue` for `member`, and nothing for `notes`. */
function createLevels() {
  const clock = new ManualClock();
  const trees = new RequestTrees();
  trees.begin('a', { rootId: 'a', importance: 'normal', route: 'member' });
  trees.join('a', 'venue');
  const failures = new ChildCallFailures(clock);
  const levels = new RouteShedLevels({ clock, random: createSeededRandom(5), trees, failures });
  return { clock, levels, trees };
}

test('a route is held to the level of what it calls; one that calls nothing is not', () => {
  const { levels } = createLevels();
  levels.recordLevel('venue', 'near', 200);
  assert.equal(levels.downstreamLevel('member'), 200);
  assert.equal(levels.downstreamLevel('notes'), 0);
});

test('a target that told nothing does not stand for one without pressure', async () => {
  const { clock, levels } = createLevels();
  levels.recordLevel('venue', 'far', 0);
  await clock.advance(1000);
  levels.recordLevel('venue', 'near', 200);
  assert.equal(levels.downstreamLevel('member'), 200);
});

test('one of the targets that told of late has room, so the route goes on', () => {
  const { levels } = createLevels();
  levels.recordLevel('venue', 'near', 200);
  levels.recordLevel('venue', 'far', 0);
  assert.equal(levels.downstreamLevel('member'), 0);
});

test('a level is forgotten when nothing is heard', async () => {
  const { clock, levels } = createLevels();
  levels.recordLevel('venue', 'near', 200);
  await clock.advance(2500);
  assert.equal(levels.downstreamLevel('member'), 0);
  levels.sweep();
  assert.equal(levels.shouldShed('venue', 'near', 10), false);
});

test('requests at the root are refused below the level, but for a few that probe', () => {
  const { levels } = createLevels();
  levels.recordLevel('member', 'near', 300);
  const refused = Array.from({ length: 1000 }, () => levels.shouldShed('member', 'near', 100));
  const sent = refused.filter((isRefused) => !isRefused).length;
  assert.ok(sent > 0 && sent < 50, `${sent} of 1000 were sent`);
  assert.equal(levels.shouldShed('member', 'near', 300), false);
});

test('a call whose parent is not at work here belongs to no tree', () => {
  const { trees } = createLevels();
  assert.equal(trees.join('unknown', 'venue'), undefined);
  assert.equal(trees.join(undefined, 'venue'), undefined);
  assert.equal(trees.join('a', 'venue')?.rootId, 'a');
  trees.end('a');
  assert.equal(trees.join('a', 'venue'), undefined);
});
