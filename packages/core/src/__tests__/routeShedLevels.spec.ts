import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CallTrees } from '../forwarding/callTrees.js';
import { ManualClock } from '../runtime/manualClock.js';
import { ChildCallFailures } from '../placement/childCallFailures.js';
import { RouteShedLevels } from '../placement/routeShedLevels.js';
import { createSeededRandom } from '../runtime/random.js';

/** Levels of a host whose target calls `venue` for route `member` and nothing for `notes`. */
function createLevels() {
  const clock = new ManualClock();
  const trees = new CallTrees();
  trees.begin('a', { rootId: 'a', importance: 'normal', route: 'member' });
  trees.recordChildCall('a', 'venue');
  const failures = new ChildCallFailures(clock);
  const levels = new RouteShedLevels({ clock, random: createSeededRandom(5), trees, failures });
  return { clock, levels, trees };
}

test('the shed level of a route applies to the routes that call it, and to no others', () => {
  const { levels } = createLevels();
  levels.recordLevel('venue', 'near', 200);
  assert.equal(levels.downstreamLevel('member'), 200);
  assert.equal(levels.downstreamLevel('notes'), 0);
});

test('a stale level of 0 does not hide the recent level of another target', async () => {
  const { clock, levels } = createLevels();
  levels.recordLevel('venue', 'far', 0);
  await clock.advance(1000);
  levels.recordLevel('venue', 'near', 200);
  assert.equal(levels.downstreamLevel('member'), 200);
});

test('a route is not shed while one target of the route that it calls recently reported level 0', () => {
  const { levels } = createLevels();
  levels.recordLevel('venue', 'near', 200);
  levels.recordLevel('venue', 'far', 0);
  assert.equal(levels.downstreamLevel('member'), 0);
});

test('a level that no response renews expires', async () => {
  const { clock, levels } = createLevels();
  levels.recordLevel('venue', 'near', 200);
  await clock.advance(2500);
  assert.equal(levels.downstreamLevel('member'), 0);
  levels.sweep();
  assert.equal(levels.shouldShed('venue', 'near', 10), false);
});

test('root requests below the level are shed except for a few probes', () => {
  const { levels } = createLevels();
  levels.recordLevel('member', 'near', 300);
  const shed = Array.from({ length: 1000 }, () => levels.shouldShed('member', 'near', 100));
  const sent = shed.filter((isShed) => !isShed).length;
  assert.ok(sent > 0 && sent < 50, `${sent} of 1000 were sent`);
  assert.equal(levels.shouldShed('member', 'near', 300), false);
});

test('a call whose parent is not running here belongs to no call tree', () => {
  const { trees } = createLevels();
  assert.equal(trees.recordChildCall('unknown', 'venue'), undefined);
  assert.equal(trees.recordChildCall(undefined, 'venue'), undefined);
  assert.equal(trees.recordChildCall('a', 'venue')?.rootId, 'a');
  trees.end('a');
  assert.equal(trees.recordChildCall('a', 'venue'), undefined);
});
