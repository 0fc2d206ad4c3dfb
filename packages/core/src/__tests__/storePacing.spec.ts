import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSeededRandom } from '../runtime/random.js';
import { StorePacing } from '../store/storePacing.js';

const MS_PER_S = 1000;

function createPacing(fleetSize: number): StorePacing {
  const pacing = new StorePacing(createSeededRandom(1));
  pacing.setFleetSize(fleetSize);
  return pacing;
}

function meanOf(samples: () => number): number {
  const values = Array.from({ length: 200 }, samples);
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

test('the idle watches of a fleet of 200 make no more requests than those of 25 daemons', () => {
  const small = createPacing(25);
  const large = createPacing(200);
  const smallRate = (25 * MS_PER_S) / meanOf(() => small.watchWaitMs());
  const largeRate = (200 * MS_PER_S) / meanOf(() => large.watchWaitMs());
  assert.ok(largeRate <= smallRate * 1.1, `${largeRate} and ${smallRate} requests/s`);
});

test('a daemon of a small fleet reads changes twice a second, one of a large fleet within 5 s', () => {
  assert.ok(createPacing(4).pollIntervalMs() <= 500);
  assert.ok(createPacing(200).pollIntervalMs() <= 5000);
  assert.ok(createPacing(10_000).pollIntervalMs() <= 5000);
});

test('waits after failures grow, vary, and stay short enough for a prompt return', () => {
  const pacing = createPacing(200);
  const waits = Array.from({ length: 50 }, () => pacing.retryWaitMs(8));
  assert.ok(Math.max(...waits) <= 1200);
  assert.ok(Math.max(...waits) - Math.min(...waits) > 500);
  assert.ok(pacing.retryWaitMs(1) <= 200);
});
