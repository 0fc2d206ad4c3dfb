import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { applyConfiguration } from '../configuration/applyChange.js';
import type { ApplyOptions, ApplyOutcome } from '../configuration/applyChange.js';
import type { Configuration } from '../configuration/configuration.js';
import type { Failure } from '../runtime/failure.js';
import { ManualClock } from '../runtime/manualClock.js';
import { MemoryStore } from '../store/memoryStore.js';
import type { LostWriteEffect } from '../store/memoryStore.js';
import { createSeededRandom } from '../runtime/random.js';
import { ResultCode } from '../runtime/resultCode.js';
import { MAX_ARCHIVED_REVISIONS, readAccepted, readHistory } from '../configuration/revisions.js';
import { CONFIGURATION_KEY } from '../store/storeKeys.js';

function configurationOf(deadlineMs: number, shards = 4): Configuration {
  return {
    revision: 0,
    changeId: '',
    objective: 'goodput',
    services: { a: { name: 'a', slots: 1, connections: 1, limit: 'adaptive', shards } },
    calls: {
      'a.one': {
        name: 'a.one',
        service: 'a',
        importance: 'low',
        execution: 'atMostOnce',
        deadlineMs,
        attemptTokens: 1,
        maxAnswerBytes: 1,
        maxBodyBytes: 1,
        children: [],
      },
    },
  };
}

/** Store that loses the responses to swaps of the configuration, but of no other key. */
class LossyStore extends MemoryStore {
  readonly effects: LostWriteEffect[] = [];

  override swap(key: string, expected: number, value: string) {
    const effect = key === CONFIGURATION_KEY ? this.effects.shift() : undefined;
    if (effect) this.loseNextResponse(effect);
    return super.swap(key, expected, value);
  }
}

function createOperator(seed = 1) {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const options: ApplyOptions = { store, clock, random: createSeededRandom(seed) };
  return { clock, store, options };
}

/** Advances the clock until `work` settles. */
async function settle<T>(clock: ManualClock, work: Promise<T>): Promise<T> {
  let isDone = false;
  const finish = () => {
    isDone = true;
  };
  work.then(finish, finish);
  while (!isDone) await clock.advance(2000);
  return work;
}

async function acceptedOf(store: MemoryStore) {
  return (await readAccepted(store.session())).unwrap();
}

test('revisions count up, unchanged answers write nothing, replaced revisions are archived', async () => {
  const { store, options } = createOperator();
  for (let deadlineMs = 1; deadlineMs <= MAX_ARCHIVED_REVISIONS + 3; deadlineMs++) {
    const outcome = (await applyConfiguration(configurationOf(deadlineMs), options)).unwrap();
    assert.equal(outcome.kind, 'accepted');
  }
  const { writes } = store.counts;
  const again = await applyConfiguration(configurationOf(MAX_ARCHIVED_REVISIONS + 3), options);
  assert.equal(again.unwrap().kind, 'unchanged');
  assert.equal(store.counts.writes, writes);
  const kept = (await readHistory(store)).unwrap().map((one) => one.revision);
  assert.deepEqual(
    kept,
    Array.from({ length: MAX_ARCHIVED_REVISIONS }, (_, index) => index + 4),
  );
});

test('of two concurrent changes one is accepted, the other gets a conflict with both differences', async () => {
  const { store, options } = createOperator();
  await applyConfiguration(configurationOf(1), options);
  const other = { ...options, store: store.session() };
  const outcomes = await Promise.all([
    applyConfiguration(configurationOf(2), options),
    applyConfiguration(configurationOf(3), other),
  ]);
  const kinds = outcomes.map((outcome) => outcome.unwrap().kind);
  assert.deepEqual([...kinds].sort(), ['accepted', 'conflict']);
  const accepted = (await acceptedOf(store)).configuration;
  assert.equal(accepted?.revision, 2);
  const lost = outcomes[kinds.indexOf('conflict')]?.unwrap() as ApplyOutcome & { kind: 'conflict' };
  assert.equal(lost.winner.changeId, accepted?.changeId);
  assert.deepEqual(
    lost.theirs.map((change) => `${change.path} ${change.before} ${change.after}`),
    ['calls.a.one.deadlineMs 1 2'],
  );
  assert.deepEqual(
    lost.wanted.map((change) => `${change.path} ${change.before} ${change.after}`),
    ['calls.a.one.deadlineMs 2 3'],
  );
});

test('answers that are based on an older revision are a conflict', async () => {
  const { options } = createOperator();
  await applyConfiguration(configurationOf(1), options);
  await applyConfiguration(configurationOf(2), options);
  const outcome = await applyConfiguration(configurationOf(3), { ...options, base: 1 });
  assert.equal(outcome.unwrap().kind, 'conflict');
  const empty = await applyConfiguration(configurationOf(1), {
    ...createOperator().options,
    base: 1,
  });
  assert.equal(empty.unwrapErr().code, ResultCode.applyConflict);
});

test('a change whose response is lost is accepted once, and a delayed write has no effect', async () => {
  for (const effect of ['early', 'late', 'never'] as const) {
    const { clock, store, options } = createOperator();
    store.loseNextResponse(effect);
    const outcome = await settle(clock, applyConfiguration(configurationOf(1), options));
    assert.equal(outcome.unwrap().kind, 'accepted', effect);
    const settled = await acceptedOf(store);
    assert.equal((await applyConfiguration(configurationOf(2), options)).unwrap().kind, 'accepted');
    const later = await acceptedOf(store);
    store.applyDelayedWrites();
    assert.deepEqual(await acceptedOf(store), later);
    assert.equal(settled.configuration?.revision, 1);
    assert.equal(later.configuration?.revision, 2);
  }
});

test('a change whose response is lost is reported as accepted even if already replaced', async () => {
  const { clock, store, options } = createOperator();
  store.loseNextResponse('early');
  const work = applyConfiguration(configurationOf(1), options);
  await ManualClock.settle();
  const other = { ...options, store: store.session() };
  assert.equal((await applyConfiguration(configurationOf(2), other)).unwrap().kind, 'accepted');
  const outcome = (await settle(clock, work)).unwrap();
  assert.ok(outcome.kind === 'accepted' && outcome.replacedBy === 2);
});

test('an unreachable store fails as unavailable; after a lost response the outcome is unknown', async () => {
  const { clock, store, options } = createOperator();
  store.setDown(true);
  const down = await applyConfiguration(configurationOf(1), options);
  assert.equal(down.unwrapErr().code, ResultCode.storeUnavailable);
  store.setDown(false);
  store.loseNextResponse('late');
  const work = applyConfiguration(configurationOf(1), options);
  await ManualClock.settle();
  store.setDown(true);
  const unknown = (await settle(clock, work)).unwrapErr();
  assert.equal(unknown.code, ResultCode.storeOutcomeUnknown);
  store.setDown(false);
  store.applyDelayedWrites();
  const { configuration } = await acceptedOf(store);
  assert.ok(unknown.message.includes(configuration?.changeId ?? 'none'));
});

test('if the response to every swap is lost the outcome is unknown, and applying again finds the change accepted', async () => {
  const { clock, store, options } = createOperator();
  const changes: string[] = [];
  const watch = store.session().watch(CONFIGURATION_KEY, ({ value }) => changes.push(value));
  await applyConfiguration(configurationOf(1), options);
  const slow = new LossyStore(clock, store.database);
  slow.effects.push('late', 'late', 'late', 'late', 'late', 'late', 'late', 'late');
  const changed = applyConfiguration(configurationOf(2), { ...options, store: slow });
  const unknown = (await settle(clock, changed)).unwrapErr();
  assert.equal(unknown.code, ResultCode.storeOutcomeUnknown);
  slow.applyDelayedWrites();
  const again = await applyConfiguration(configurationOf(2), options);
  assert.equal(again.unwrap().kind, 'unchanged');
  await ManualClock.settle();
  watch.close();
  assert.equal(changes.length, 2);
});

test('revision numbers continue after the store has lost the accepted revision', async () => {
  const { store, options } = createOperator();
  await applyConfiguration(configurationOf(1), options);
  await applyConfiguration(configurationOf(2), options);
  await store.remove(CONFIGURATION_KEY, (await acceptedOf(store)).modRevision);
  await applyConfiguration(configurationOf(3), options);
  assert.equal((await acceptedOf(store)).configuration?.revision, 3);
});

test('a large configuration is stored compressed and read back unchanged', async () => {
  const { store, options } = createOperator();
  const wanted = configurationOf(1);
  const [call] = Object.values(wanted.calls);
  for (let index = 0; index < 1000; index++) {
    wanted.calls[`a.call${index}`] = { ...call!, name: `a.call${index}` };
  }
  assert.equal((await applyConfiguration(wanted, options)).unwrap().kind, 'accepted');
  const { configuration } = await acceptedOf(store);
  assert.deepEqual(configuration?.calls, wanted.calls);
  const stored = store.database.get(CONFIGURATION_KEY)?.value.length ?? Infinity;
  assert.ok(stored < JSON.stringify(configuration).length / 2);
});

test('a value that is too large and a changed number of shards are rejected before writing', async () => {
  const { store, options } = createOperator();
  const large = configurationOf(1);
  const random = createSeededRandom(1);
  // Random digits that do not compress below the limit.
  const name = Array.from({ length: 100_000 }, () => String(random.next())).join('');
  large.services.a = { ...large.services.a!, name };
  const rejected = await applyConfiguration(large, options);
  assert.equal(rejected.unwrapErr().code, ResultCode.answersInvalid);
  assert.equal(store.counts.writes, 0);
  await applyConfiguration(configurationOf(1), options);
  const resharded = await applyConfiguration(configurationOf(1, 8), options);
  assert.equal(resharded.unwrapErr().code, ResultCode.answersInvalid);
});

const faults = fc.array(fc.constantFrom<LostWriteEffect>('early', 'late', 'never'), {
  maxLength: 4,
});

test('with lost responses, a change is reported as accepted exactly when the store accepted it', async () => {
  await fc.assert(
    fc.asyncProperty(faults, faults, fc.integer(), async (ownEffects, otherEffects, seed) => {
      const { clock, store: first, options } = createOperator(seed);
      await applyConfiguration(configurationOf(1), options);
      const store = new LossyStore(clock, first.database);
      const other = new LossyStore(clock, first.database);
      store.effects.push(...ownEffects);
      other.effects.push(...otherEffects);
      const accepted = new Map<number, string>();
      const watch = store.session().watch(CONFIGURATION_KEY, ({ value }) => {
        const { revision, changeId } = JSON.parse(value) as Configuration;
        assert.equal(accepted.get(revision) ?? changeId, changeId, 'a revision was changed');
        accepted.set(revision, changeId);
      });
      const work = Promise.all([
        applyConfiguration(configurationOf(2), { ...options, store }),
        applyConfiguration(configurationOf(3), { ...options, store: other }),
      ]);
      const outcomes = await settle(clock, work);
      const reported = outcomes.flatMap((outcome) =>
        outcome.isOk() && outcome.value.kind === 'accepted'
          ? [outcome.value.configuration.changeId]
          : [],
      );
      const failures = outcomes.flatMap((outcome): Failure[] =>
        outcome.isErr() ? [outcome.error] : [],
      );
      store.applyDelayedWrites();
      other.applyDelayedWrites();
      await ManualClock.settle();
      watch.close();
      const acceptedIds = [...accepted.values()];
      reported.forEach((changeId) =>
        assert.ok(acceptedIds.includes(changeId), 'reported but not accepted'),
      );
      if (failures.length === 0) assert.equal(reported.length, acceptedIds.length - 1);
    }),
    { seed: 7, numRuns: 150 },
  );
});
