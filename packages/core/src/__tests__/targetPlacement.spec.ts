import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TargetDirectory } from '../directory/targetDirectory.js';
import type { KnownTarget } from '../directory/targetDirectory.js';
import type { HopResponse, TargetLoad, TargetRateLimit } from '../forwarding/hopMessages.js';
import { silentLogger } from '../observability/logger.js';
import { ManualClock } from '../runtime/manualClock.js';
import { TargetPlacement } from '../placement/targetPlacement.js';
import { createSeededRandom } from '../runtime/random.js';
import { ResultCode } from '../runtime/resultCode.js';
import { targetRecord } from './support/targetRecordSample.js';
import type { ResultNumber } from '../runtime/resultCode.js';

const idle: TargetLoad = { inFlight: 0, waiting: 0, limit: 10, serviceMs: 50 };

function responseOf(load: TargetLoad, code: ResultNumber = ResultCode.ok): HopResponse {
  return {
    code,
    reached: true,
    response: { status: 200, headers: {}, body: Buffer.alloc(0) },
    load,
    shedLevel: 0,
    configurationVersion: 1,
    incarnation: '',
    message: '',
  };
}

/** Two targets in the data centre of this daemon, two in another. */
function createPlacement() {
  const clock = new ManualClock();
  const directory = new TargetDirectory(clock, silentLogger);
  ['local-1', 'local-2', 'remote-1', 'remote-2'].forEach((key, index) => {
    directory.update(key, {
      ...targetRecord,
      targetId: key,
      dataCentre: key.startsWith('local') ? 'hobart' : 'burnie',
      address: `10.0.0.${index}`,
      incarnation: 'run',
      version: 1,
    });
  });
  const random = createSeededRandom(3);
  const placement = new TargetPlacement({ clock, random, directory, dataCentre: 'hobart' });
  const choose = (tried: string[] = []): KnownTarget | undefined =>
    placement.choose('books', new Set(tried), () => false);
  const report = (keys: string[], load: TargetLoad, code?: ResultNumber): void => {
    directory
      .targetsOf('books')
      .filter(({ key }) => keys.includes(key))
      .forEach((target) => placement.recordResponse(target, responseOf(load, code)));
  };
  return { clock, directory, placement, choose, report };
}

function chosenOf(choose: () => KnownTarget | undefined): string[] {
  const keys = Array.from({ length: 60 }, () => choose()?.key ?? 'none');
  return [...new Set(keys)].sort();
}

test('requests stay in their data centre while its targets have free slots', () => {
  const { choose, report } = createPlacement();
  report(['local-1', 'local-2'], { ...idle, inFlight: 7 });
  assert.equal(
    chosenOf(choose).every((key) => key.startsWith('local')),
    true,
  );
});

test('requests go to another data centre when the local queues cost more than the distance', () => {
  const { choose, report } = createPlacement();
  report(['local-1', 'local-2'], { ...idle, inFlight: 10, waiting: 8 });
  report(['remote-1', 'remote-2'], idle);
  assert.deepEqual(chosenOf(choose), ['remote-1', 'remote-2']);
});

test('a target that refuses many requests is chosen less than one that does not', () => {
  const { choose, report } = createPlacement();
  for (let response = 0; response < 10; response++) {
    report(['local-1'], idle, ResultCode.notRunTargetRefused);
    report(['local-2'], idle);
  }
  assert.deepEqual(chosenOf(choose), ['local-2']);
});

test('an unreachable target is avoided for a time, unless it is the only one', async () => {
  const { clock, placement, choose } = createPlacement();
  const target = choose(['local-2', 'remote-1', 'remote-2']) as KnownTarget;
  placement.recordUnreachable(target);
  assert.deepEqual(chosenOf(choose), ['local-2']);
  assert.equal(choose(['local-2', 'remote-1', 'remote-2'])?.key, 'local-1');
  await clock.advance(1100);
  assert.deepEqual(chosenOf(choose), ['local-1', 'local-2']);
});

test('a host that stays lost is tried less and less often, and as before once it responds', async () => {
  const { clock, placement, choose, report } = createPlacement();
  const lost = choose(['local-2', 'remote-1', 'remote-2']) as KnownTarget;
  let attempts = 0;
  for (let elapsed = 0; elapsed < 10_000; elapsed += 100) {
    if (chosenOf(choose).includes('local-1')) {
      attempts += 1;
      placement.recordUnreachable(lost);
    }
    await clock.advance(100);
  }
  assert.ok(attempts <= 5, `${attempts} attempts in 10 s`);
  await clock.advance(4000);
  report(['local-1'], idle);
  placement.recordUnreachable(lost);
  await clock.advance(1100);
  assert.ok(chosenOf(choose).includes('local-1'));
});

test('a draining target is avoided until its record changes', async () => {
  const { clock, directory, placement, choose } = createPlacement();
  const draining = choose(['local-2', 'remote-1', 'remote-2']) as KnownTarget;
  placement.recordDraining(draining);
  await clock.advance(1000);
  assert.deepEqual(chosenOf(choose), ['local-2']);
  directory.update('local-1', { ...draining.record, startedAt: 2, version: 2 });
  assert.deepEqual(chosenOf(choose), ['local-1', 'local-2']);
});

test('a target whose daemon is unresponsive is avoided while others are available', async () => {
  const { clock, placement, choose } = createPlacement();
  placement.recordUnresponsive('10.0.0.0', 1);
  const chosen = new Set(Array.from({ length: 60 }, () => choose()?.key));
  assert.equal(chosen.has('local-1'), false);
  assert.equal(chosen.has('local-2'), true);
  assert.equal(choose(['local-2', 'remote-1', 'remote-2'])?.key, 'local-1');
  await clock.advance(1000);
  assert.ok(Array.from({ length: 60 }, () => choose()?.key).includes('local-1'));
});

function limitOf(requestsPerSecond: number): TargetRateLimit {
  return { targetId: 'local-1', startedAt: 1, requestsPerSecond };
}

test('a target with a rate limit is used when the others would let a request wait longer', async () => {
  const { directory, placement, choose, report } = createPlacement();
  const limited = directory.get('local-1') as KnownTarget;
  placement.recordResponse(limited, { ...responseOf(idle), rateLimit: limitOf(5) });
  report(['local-2', 'remote-1', 'remote-2'], idle);
  assert.equal(chosenOf(choose).includes('local-1'), false);
  report(['local-2', 'remote-1', 'remote-2'], { ...idle, inFlight: 10, waiting: 50 });
  assert.deepEqual(chosenOf(choose), ['local-1']);
});

test('a target with a rate limit of zero is used when there is no other, and tried again after a time', async () => {
  const { clock, directory, placement, choose } = createPlacement();
  const limited = directory.get('local-1') as KnownTarget;
  placement.recordResponse(limited, { ...responseOf(idle), rateLimit: limitOf(0) });
  assert.equal(chosenOf(choose).includes('local-1'), false);
  assert.equal(choose(['local-2', 'remote-1', 'remote-2'])?.key, 'local-1');
  await clock.advance(3100);
  assert.ok(chosenOf(choose).includes('local-1'));
});

test('a rate limit is reported to a restarted daemon until its target has responded', () => {
  const { directory, placement } = createPlacement();
  const target = directory.get('local-1') as KnownTarget;
  const rateLimit = limitOf(5);
  const former = { ...responseOf(idle), incarnation: 'run' };
  placement.recordResponse(target, { ...former, rateLimit });
  assert.equal(placement.rateLimitOfFormerIncarnation(target), undefined);
  const restarted = { ...responseOf(idle), incarnation: 'run-2' };
  placement.recordResponse(target, { ...restarted, code: ResultCode.notRunShed });
  assert.deepEqual(placement.rateLimitOfFormerIncarnation(target), rateLimit);
  placement.recordResponse(target, restarted);
  assert.equal(placement.rateLimitOfFormerIncarnation(target), undefined);
});

test('a rate limit is kept while the record of its target is missing', async () => {
  const { clock, directory, placement } = createPlacement();
  directory.setStoreReachable(true);
  const target = directory.get('local-1') as KnownTarget;
  const rateLimit = limitOf(5);
  placement.recordResponse(target, { ...responseOf(idle), incarnation: 'run', rateLimit });
  directory.remove('local-1');
  await clock.advance(20_000);
  assert.equal(directory.targetsOf('books').length, 3);
  placement.sweep();
  directory.update('local-1', { ...target.record, incarnation: 'run-2' });
  const restarted = directory.get('local-1') as KnownTarget;
  assert.deepEqual(placement.rateLimitOfFormerIncarnation(restarted), rateLimit);
});
