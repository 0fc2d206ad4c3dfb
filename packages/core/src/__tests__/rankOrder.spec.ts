import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Importance } from '../configuration/configuration.js';
import { ManualClock } from '../runtime/manualClock.js';
import { createSeededRandom } from '../runtime/random.js';
import { createAdmission } from '../admission/targetAdmission.js';

const SLOTS = 18;
const RUN_MS = 10_000;

/** A kind of call at a service that both serves callers and is called by others. */
interface CallKind {
  importance: Importance;
  isChildCall: boolean;
  perSecond: number;
  serviceMs: number;
  aimMs: number;
  deadlineMs: number;
}

interface Outcome {
  asked: number;
  inAim: number;
  failed: number;
}

/** A short important request beside the child calls of two kinds of call trees. */
const kinds: Record<'attendance' | 'reservation' | 'browsing', CallKind> = {
  attendance: {
    importance: 'high',
    isChildCall: false,
    perSecond: 20,
    serviceMs: 100,
    aimMs: 300,
    deadlineMs: 800,
  },
  reservation: {
    importance: 'critical',
    isChildCall: true,
    perSecond: 80,
    serviceMs: 62,
    aimMs: 300,
    deadlineMs: 700,
  },
  browsing: {
    importance: 'normal',
    isChildCall: true,
    perSecond: 230,
    serviceMs: 62,
    aimMs: 300,
    deadlineMs: 700,
  },
};

/** Plays the kinds of call against one target, at a multiple of their rates. */
async function play(loadFactor: number): Promise<Record<string, Outcome>> {
  const clock = new ManualClock();
  const random = createSeededRandom(20261204);
  const admission = createAdmission({
    clock,
    settings: { limit: 'fixed', slots: SLOTS, objective: 'goodput' },
  });
  const outcomes: Record<string, Outcome> = {};

  async function call(name: string, kind: CallKind, caller: string): Promise<void> {
    const outcome = outcomes[name] ?? { asked: 0, inAim: 0, failed: 0 };
    outcomes[name] = outcome;
    outcome.asked += 1;
    const startedAt = clock.now();
    const permit = await admission.enter({
      importance: kind.importance,
      caller,
      deadlineAt: startedAt + kind.deadlineMs,
      signal: new AbortController().signal,
      isChildCall: kind.isChildCall,
      minRemainingMs: kind.serviceMs / 2,
    });
    if (permit.isErr()) {
      outcome.failed += 1;
      return;
    }
    await clock.sleep(kind.serviceMs * (0.5 + random.next()));
    permit.value.release('completed');
    if (clock.now() - startedAt <= kind.aimMs) outcome.inAim += 1;
  }

  const calls: Promise<void>[] = [];
  for (let elapsed = 0; elapsed < RUN_MS; elapsed += 5) {
    Object.entries(kinds).forEach(([name, kind]) => {
      if (random.next() >= (kind.perSecond * loadFactor * 5) / 1000) return;
      calls.push(call(name, kind, `${name}-${calls.length}`));
    });
    await clock.advance(5);
  }
  await clock.advance(2000);
  await Promise.all(calls);
  return outcomes;
}

function shareInAim(outcome: Outcome | undefined): number {
  return outcome ? outcome.inAim / outcome.asked : 0;
}

test('at 1.3 times the capacity short important requests are in time beside less important trees', async () => {
  const { attendance, reservation, browsing } = await play(1.1);
  assert.ok(shareInAim(attendance) >= 0.95, `attendance in aim: ${shareInAim(attendance)}`);
  assert.ok(shareInAim(reservation) >= 0.95, `reservation in aim: ${shareInAim(reservation)}`);
  // The load that the target can't carry is taken from the least important calls.
  assert.ok((browsing?.failed ?? 0) > 0);
});

test('within the capacity all are in time', async () => {
  const outcomes = await play(0.8);
  Object.entries(outcomes).forEach(([name, outcome]) => {
    assert.ok(shareInAim(outcome) >= 0.95, `${name} in aim: ${shareInAim(outcome)}`);
  });
});
