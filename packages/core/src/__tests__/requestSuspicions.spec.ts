import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RequestSuspicions, digestOf } from '../forwarding/requestSuspicions.js';
import { SolitarySlot } from '../forwarding/solitarySlot.js';
import { ManualClock } from '../runtime/manualClock.js';
import { createSeededRandom } from '../runtime/random.js';
import { hopRequest } from './support/hopSamples.js';

const TARGETS = 3;
const IN_FLIGHT = 20;
const DEADLY_SHARE = 0.03;
const ROUNDS = 2000;

const lostWith = (digest: string, wasAlone = false) => ({ digest, wasAlone });

test('requests that ran beside a deadly one are suspected, run alone and are trusted again', () => {
  const suspicions = new RequestSuspicions(new ManualClock());
  suspicions.recordEnd('run-1', [lostWith('deadly'), lostWith('innocent')]);
  assert.equal(suspicions.standingOf('innocent'), 'suspected');
  suspicions.recordSuccess('innocent');
  assert.equal(suspicions.standingOf('innocent'), 'trusted');
  suspicions.recordEnd('run-2', [lostWith('deadly', true), lostWith('other')]);
  assert.equal(suspicions.standingOf('deadly'), 'barred');
  assert.equal(suspicions.standingOf('other'), 'suspected');
});

test('a request under which three targets have ended is barred though it never ran alone', () => {
  const suspicions = new RequestSuspicions(new ManualClock());
  ['run-1', 'run-2', 'run-2'].forEach((run) => suspicions.recordEnd(run, [lostWith('deadly')]));
  assert.equal(suspicions.standingOf('deadly'), 'suspected');
  suspicions.recordEnd('run-3', [lostWith('deadly')]);
  assert.equal(suspicions.standingOf('deadly'), 'barred');
});

test('evidence of other daemons counts once, in any order', () => {
  const clock = new ManualClock();
  const first = new RequestSuspicions(clock);
  const second = new RequestSuspicions(clock);
  const evidence = first.recordEnd('run-1', [lostWith('deadly')]);
  second.merge(evidence);
  second.merge(evidence);
  assert.equal(second.standingOf('deadly'), 'suspected');
  first.merge(second.recordEnd('run-2', [lostWith('deadly', true)]));
  assert.equal(first.standingOf('deadly'), 'barred');
  assert.deepEqual(first.barred(), second.barred());
});

test('after its time a barred request runs alone, and a further end bars it for longer', async () => {
  const clock = new ManualClock();
  const suspicions = new RequestSuspicions(clock);
  const end = (run: string) => suspicions.recordEnd(run, [lostWith('deadly', true)]);
  end('run-1');
  await clock.advance(30_000);
  assert.equal(suspicions.standingOf('deadly'), 'suspected');
  end('run-2');
  await clock.advance(119_000);
  assert.equal(suspicions.standingOf('deadly'), 'barred');
  await clock.advance(31_001);
  assert.equal(suspicions.standingOf('deadly'), 'trusted');
});

// Otherwise every request would be hashed for good after one end of a target.
test('expired suspicions are swept, and barred ones stay', async () => {
  const clock = new ManualClock();
  const suspicions = new RequestSuspicions(clock);
  suspicions.recordEnd('run-1', [lostWith('deadly', true), lostWith('innocent')]);
  await clock.advance(30_000);
  suspicions.sweep();
  assert.equal(suspicions.isEmpty, false);
  await clock.advance(30_000);
  suspicions.sweep();
  assert.equal(suspicions.isEmpty, true);
});

test('a flood of suspected requests is bounded and does not free a barred one', () => {
  const suspicions = new RequestSuspicions(new ManualClock());
  suspicions.recordEnd('run-1', [lostWith('deadly', true)]);
  for (let index = 0; index < 5000; index++) {
    suspicions.recordEnd('run-2', [lostWith(`flood-${index}`)]);
  }
  assert.equal(suspicions.standingOf('deadly'), 'barred');
  assert.equal(suspicions.standingOf('flood-0'), 'trusted');
  assert.equal(suspicions.standingOf('flood-4999'), 'suspected');
});

test('the digest depends on the content of a request and not on its id', () => {
  const digest = digestOf(hopRequest);
  assert.equal(digestOf({ ...hopRequest, callerId: 'another', attemptId: 'another' }), digest);
  assert.notEqual(digestOf({ ...hopRequest, url: `${hopRequest.url}x` }), digest);
  assert.notEqual(digestOf({ ...hopRequest, body: Buffer.from('another') }), digest);
});

/**
 * Three targets that end when they run the deadly request. Callers send each request that is lost
 * once more, to the next target.
 */
class DeadlyLoad {
  ends = 0;

  innocentRejected = 0;

  private readonly random = createSeededRandom(28);

  private readonly guards: RequestSuspicions[];

  private lost: string[] = [];

  constructor(private readonly hasSuspicions: boolean) {
    const clock = new ManualClock();
    this.guards = Array.from({ length: TARGETS }, () => new RequestSuspicions(clock));
  }

  play(): this {
    for (let round = 0; round < ROUNDS; round++) {
      const guard = this.guards[round % TARGETS] as RequestSuspicions;
      const fresh = this.freshRequests(round);
      const repeated = this.lost;
      this.lost = [];
      this.runAt(guard, [...repeated, ...fresh]);
      this.lost = this.lost.filter((digest) => fresh.includes(digest));
    }
    return this;
  }

  private freshRequests(round: number): string[] {
    return Array.from({ length: IN_FLIGHT }, (_, index) =>
      this.random.next() < DEADLY_SHARE ? 'deadly' : `${round}-${index}`,
    );
  }

  /** Runs the trusted requests together, then the suspected ones one after the other. */
  private runAt(guard: RequestSuspicions, arrived: string[]): void {
    const standings = arrived.map((digest): [string, string] => [
      digest,
      this.hasSuspicions ? guard.standingOf(digest) : 'trusted',
    ]);
    const withStanding = (wanted: string): string[] =>
      standings.flatMap(([digest, standing]) => (standing === wanted ? [digest] : []));
    this.innocentRejected += withStanding('barred').filter((one) => one !== 'deadly').length;
    this.run(guard, withStanding('trusted'), undefined);
    withStanding('suspected').forEach((alone) => this.run(guard, [alone], alone));
  }

  private run(guard: RequestSuspicions, running: string[], alone: string | undefined): void {
    if (!running.includes('deadly')) {
      if (alone !== undefined) guard.recordSuccess(alone);
      return;
    }
    this.ends += 1;
    const lost = running.map((digest) => lostWith(digest, digest === alone));
    const evidence = guard.recordEnd(`run-${this.ends}`, lost);
    this.guards.forEach((other) => other.merge(evidence));
    this.lost.push(...running);
  }
}

// One request took all targets of a service away as often as they came back.
test('a deadly request among many ends two targets, and no other request is rejected', () => {
  assert.ok(new DeadlyLoad(false).play().ends > 500);
  const { ends, innocentRejected } = new DeadlyLoad(true).play();
  assert.ok(ends <= 2, `${ends} targets ended`);
  assert.equal(innocentRejected, 0);
});

test('suspects pass a slot one at a time, in order, and those that give up leave it', async () => {
  const clock = new ManualClock();
  const slot = new SolitarySlot(clock);
  const never = new AbortController().signal;
  const cancelled = new AbortController();
  assert.equal(await slot.take(1000, never), true);
  const passed: string[] = [];
  const late = slot.take(100, never);
  const gone = slot.take(1000, cancelled.signal);
  const next = slot.take(1000, never).then((hasSlot) => passed.push(`next ${hasSlot}`));
  const last = slot.take(1000, never).then((hasSlot) => passed.push(`last ${hasSlot}`));
  cancelled.abort();
  assert.equal(await gone, false);
  await clock.advance(100);
  assert.equal(await late, false);
  slot.free();
  await next;
  assert.deepEqual(passed, ['next true']);
  slot.free();
  await last;
  assert.deepEqual(passed, ['next true', 'last true']);
});
