import assert from 'node:assert/strict';
import { test } from 'node:test';
import { priorityOf } from '../admission/shedLevel.js';
import { createAdmission } from '../admission/targetAdmission.js';
import type { Importance } from '../configuration/configuration.js';
import { TargetDirectory } from '../directory/targetDirectory.js';
import type { KnownTarget } from '../directory/targetDirectory.js';
import { CallTrees } from '../forwarding/callTrees.js';
import { silentLogger } from '../observability/logger.js';
import { ChildCallFailures } from '../placement/childCallFailures.js';
import { RouteShedLevels } from '../placement/routeShedLevels.js';
import { TargetPlacement } from '../placement/targetPlacement.js';
import { ManualClock } from '../runtime/manualClock.js';
import { createSeededRandom } from '../runtime/random.js';
import { ResultCode } from '../runtime/resultCode.js';
import { targetRecord } from './support/targetRecordSample.js';

const GATEWAYS = 13;
const SLOTS = 100;
const SERVICE_MS = 120;
const RUN_MS = 10_000;
const AIM_MS = 800;
const ROUTE = 'r-1';

interface Outcome {
  asked: number;
  inAim: number;
}

/**
 * Plays 13 gateways against three targets of a service, of which some name a rate limit. `limits` are in
 * requests per second, `perSecond` is the rate of the requests of each importance.
 */
async function play(
  limits: (number | undefined)[],
  perSecond: Partial<Record<Importance, number>>,
  slots = SLOTS,
): Promise<Partial<Record<Importance, Outcome>>> {
  const clock = new ManualClock();
  const random = createSeededRandom(20261204);
  const targets = limits.map((limit, index) => {
    const admission = createAdmission({
      clock,
      settings: { limit: 'fixed', slots, objective: 'goodput' },
    });
    admission.setRateLimit(limit);
    return { key: `target-${index}`, limit, admission };
  });
  const gateways = Array.from({ length: GATEWAYS }, () => {
    const directory = new TargetDirectory(clock, silentLogger);
    targets.forEach(({ key }) => {
      directory.update(key, { ...targetRecord, targetId: key, slots });
    });
    const failures = new ChildCallFailures(clock);
    return {
      placement: new TargetPlacement({ clock, random, directory, dataCentre: 'hobart' }),
      levels: new RouteShedLevels({ clock, random, trees: new CallTrees(), failures }),
    };
  });
  const outcomes: Partial<Record<Importance, Outcome>> = {};

  async function attempt(
    { placement, levels }: (typeof gateways)[number],
    { key, record }: KnownTarget,
    importance: Importance,
    caller: string,
  ): Promise<boolean> {
    const target = targets.find((candidate) => candidate.key === key);
    assert.ok(target);
    const permit = await target.admission.enter({
      importance,
      caller,
      deadlineAt: clock.now() + 3000,
      signal: new AbortController().signal,
      minRemainingMs: SERVICE_MS / 2,
    });
    if (permit.isOk()) {
      await clock.sleep(SERVICE_MS);
      permit.value.release('completed');
    }
    placement.recordResponse({ key, record } as KnownTarget, {
      code: permit.isOk() ? ResultCode.ok : permit.error.code,
      reached: permit.isOk(),
      response: { status: 200, headers: {}, body: Buffer.alloc(0) },
      load: { ...target.admission.load(), serviceMs: SERVICE_MS },
      shedLevel: target.admission.shedLevel(),
      configurationVersion: 1,
      incarnation: record.incarnation,
      message: '',
      rateLimit:
        target.limit === undefined
          ? undefined
          : { targetId: key, startedAt: 1, requestsPerSecond: target.limit },
    });
    levels.recordLevel(ROUTE, key, target.admission.shedLevel());
    return permit.isOk();
  }

  async function request(importance: Importance, caller: string): Promise<void> {
    const outcome = outcomes[importance] ?? { asked: 0, inAim: 0 };
    outcomes[importance] = outcome;
    outcome.asked += 1;
    const startedAt = clock.now();
    const gateway = gateways[Math.floor(random.next() * GATEWAYS)] as (typeof gateways)[number];
    const { placement, levels } = gateway;
    const priority = priorityOf(importance, caller);
    const tried = new Set<string>();
    for (let hop = 0; hop < 2; hop++) {
      const target = placement.choose('books', tried, (key) =>
        levels.shouldShed(ROUTE, key, priority),
      );
      if (!target) return;
      tried.add(target.key);
      placement.begin(target);
      const isServed = await attempt(gateway, target, importance, caller);
      placement.end(target);
      if (!isServed) continue;
      if (clock.now() - startedAt <= AIM_MS) outcome.inAim += 1;
      return;
    }
  }

  const requests: Promise<void>[] = [];
  for (let elapsed = 0; elapsed < RUN_MS; elapsed += 5) {
    Object.entries(perSecond).forEach(([importance, rate]) => {
      if (random.next() >= (rate * 5) / 1000) return;
      requests.push(request(importance as Importance, `caller-${requests.length}`));
    });
    await clock.advance(5);
  }
  await clock.advance(5000);
  await Promise.all(requests);
  return outcomes;
}

function shareInAim(outcome: Outcome | undefined): number {
  return outcome ? outcome.inAim / outcome.asked : 0;
}

test('a limit at two of three targets costs callers nothing while the third has room', async () => {
  const { normal } = await play([34, 32, undefined], { normal: 190 });
  assert.ok(shareInAim(normal) >= 0.99, `in aim: ${shareInAim(normal)}`);
});

function servedInAim(outcomes: Partial<Record<Importance, Outcome>>): number {
  return Object.values(outcomes).reduce((sum, { inAim }) => sum + inAim, 0);
}

test('when all targets name limits below the demand, the most important requests are served, and no less than by slots for the same rate', async () => {
  const perSecond = { critical: 60, normal: 130 };
  const limited = await play([40, 40, 40], perSecond);
  const critical = shareInAim(limited.critical);
  assert.ok(critical >= 0.95, `critical in aim: ${critical}`);
  // Five slots of 120 ms start 42 requests a second.
  const bySlots = await play([undefined, undefined, undefined], perSecond, 5);
  assert.ok(servedInAim(limited) >= servedInAim(bySlots), `${servedInAim(limited)} served`);
});
