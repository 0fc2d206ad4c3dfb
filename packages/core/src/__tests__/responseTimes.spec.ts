import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ResponseTimes } from '../forwarding/responseTimes.js';
import { createSeededRandom } from '../runtime/random.js';

test('nearly all responses of a route stay below its high time', () => {
  const random = createSeededRandom(7);
  const times = new ResponseTimes();
  assert.equal(times.highOf('r'), undefined);
  let above = 0;
  for (let response = 0; response < 5000; response++) {
    // A sum of uniform samples has a bell-shaped distribution.
    const elapsedMs = 100 + 50 * (random.next() + random.next() + random.next());
    if (response > 100 && elapsedMs > (times.highOf('r') ?? 0)) above += 1;
    times.record('r', elapsedMs);
  }
  assert.ok(above < 50, `${above} of 4900 above`);
  assert.ok((times.highOf('r') ?? Infinity) < 350);
  assert.ok(Math.abs((times.meanOf('r') ?? 0) - 175) < 20);
});

test('the number of tracked routes is bounded', () => {
  const times = new ResponseTimes();
  for (let route = 0; route < 5000; route++) times.record(`r-${route}`, 10);
  assert.equal(times.meanOf('r-0'), undefined);
  assert.equal(times.meanOf('r-4999'), 10);
});
