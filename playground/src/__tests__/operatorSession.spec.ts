import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  ControlMethod,
  ManualClock,
  MemoryStore,
  generateConfiguration,
  readAccepted,
  parseAnswers,
} from '@shallotcroft/core';
import type { HistogramRow, Member } from '@shallotcroft/core';
import { exampleNames, readExample } from '@shallotcroft/cli';
import { checkGolden } from '../goldenFile.js';
import { OperatorTerminal } from '../operatorTerminal.js';

function createSession() {
  const clock = new ManualClock(new Date('2026-12-01T08:00:00Z'));
  const store = new MemoryStore(clock);
  const ann = new OperatorTerminal('ann', clock, store, 1);
  const ben = new OperatorTerminal('ben', clock, store, 2, ann.transcript);
  const lossy = (effect: 'early' | 'late' | 'never') => {
    const session = store.session();
    session.loseNextResponse(effect);
    return session;
  };
  return { clock, store, ann, ben, lossy };
}

/** Revisions that the transcript reports as accepted, in order. */
function acceptedRevisions(transcript: string[]): number[] {
  return transcript.flatMap((line) => {
    const [, revision] = /^accepted as revision (\d+)/.exec(line) ?? [];
    return revision ? [Number(revision)] : [];
  });
}

function memberOf(host: string, dataCentre: string, port: number): Member {
  const [service = ''] = host.split('-');
  return {
    incarnation: `incarnation of ${host}`,
    version: 1,
    host,
    dataCentre,
    service,
    state: 'serving',
    address: '10.0.0.7',
    callPort: port - 1,
    peerPort: port,
    homes: [],
  };
}

function addDaemons(operator: OperatorTerminal): void {
  const members = [
    memberOf('catalogue-1', 'hobart', 7401),
    memberOf('catalogue-2', 'burnie', 7411),
    memberOf('circles-1', 'hobart', 7421),
  ];
  const rows: HistogramRow[] = [
    {
      measure: 'latency',
      group: 'importance',
      key: 'critical',
      count: 40,
      p50: 3000,
      p90: 6000,
      p99: 9000,
      max: 9100,
      buckets: [0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 30, 8, 2],
    },
  ];
  members.slice(0, 2).forEach((self, index) => {
    operator.daemonResponses.set(`${self.address}:${self.peerPort}`, {
      [ControlMethod.members]: members,
      [ControlMethod.status]: {
        self,
        revision: 3 - index,
        storeReachable: index === 0 ? true : undefined,
        load: { inFlight: 4, waiting: 1, limit: 20.4 },
        members: members.length,
      },
      [ControlMethod.histograms]: rows,
      [ControlMethod.drain]: { ...self, state: 'draining' },
    });
  });
}

test('examples are valid, generate the same configuration each time, and mark exactly the non-repeatable calls as at most once', () => {
  exampleNames.forEach((name) => {
    const read = () => parseAnswers({ file: name, text: readExample(name) }).unwrap();
    assert.deepEqual(generateConfiguration(read()), generateConfiguration(read()));
    const harmful = /reserve|hold|Attendance|pay|grant|compensate/;
    Object.values(generateConfiguration(read()).calls).forEach((call) => {
      const isOnce = call.execution === 'atMostOnce';
      assert.equal(isOnce, harmful.test(call.name.split('.')[1] ?? ''), call.name);
    });
  });
});

// Guards against a concurrent `apply` that overwrites another operator's revision, and against a
// lost response of the store that makes `apply` write twice or report a failure.
test('two operators apply concurrently, and an apply whose response was lost is accepted once', async () => {
  const { clock, store, ann, ben, lossy } = createSession();
  assert.equal(await ann.run('init --example reading-circles'), 0);
  assert.equal(await ann.run('init --example cairnlea'), 3);
  assert.equal(await ann.run('check'), 0);
  ann.edit('answers.yaml', 'patienceMs: 3000', 'patienceMs: 30000');
  assert.equal(await ann.run('check'), 4);
  ann.edit('answers.yaml', 'patienceMs: 30000', 'patienceMs: 3000');
  assert.equal(await ann.run('generate'), 0);
  assert.equal(await ann.run('explain catalogue.hold'), 0);
  assert.equal(await ann.run('explain catalogue.nothing'), 3);
  assert.equal(await ann.run('diff'), 0);
  assert.equal(await ann.run('apply --base 0'), 0);
  assert.equal(await ann.run('apply'), 4);

  ben.files.set('answers.yaml', ann.files.get('answers.yaml') ?? '');
  ben.edit('answers.yaml', 'weighsMore: goodput', 'weighsMore: recovery');
  ann.edit('answers.yaml', 'furtherAttempts: 4', 'furtherAttempts: 2');
  assert.equal(await ann.run('apply --base 1'), 0);
  assert.equal(await ben.run('apply --base 1'), 4);
  assert.equal(await ben.run('history'), 0);
  assert.equal(await ben.run('history 2'), 0);

  ann.note('the response to the next write is lost, and the write is applied late');
  const session = store.session();
  const late = lossy('late');
  ann.edit('answers.yaml', 'furtherAttempts: 2', 'furtherAttempts: 3');
  ann.nextStores.push(late);
  assert.equal(await ann.run('apply --base 2'), 0);
  late.applyDelayedWrites();
  await clock.advance(1000);

  ann.note('the store goes down');
  const down = store.session();
  down.setDown(true);
  ann.nextStores.push(down);
  assert.equal(await ann.run('apply'), 5);
  assert.equal(await ann.run('history --json'), 0);

  const accepted = (await readAccepted(session)).unwrap().configuration;
  assert.equal(accepted?.revision, 3);
  assert.deepEqual(acceptedRevisions(ann.transcript), [1, 2, 3]);
  checkGolden('operators', ann.transcript);
});

test('status, histograms and drain print what daemons respond, and an unreachable daemon is an error', async () => {
  const { ann } = createSession();
  addDaemons(ann);
  assert.equal(await ann.run('status'), 0);
  assert.equal(await ann.run('status --all'), 0);
  assert.equal(await ann.run('histograms --measure latency'), 0);
  assert.equal(await ann.run('drain catalogue-2'), 0);
  assert.equal(await ann.run('drain catalogue-9'), 3);
  assert.equal(await ann.run('status --daemon 10.0.0.9:7401'), 5);
  checkGolden('operators-daemons', ann.transcript);
});

test('the questionnaire repeats a question until the answer is valid, and writes a valid answers file', async () => {
  const { ann } = createSession();
  ann.typedAnswers = ['both', 'recovery', 'perth', 'ductmap', 'four', '4', '90', '650', ''];
  ann.typedAnswers.push(
    'ductmap.search',
    'low',
    'yes',
    '20000',
    '',
    '',
    'ductmap.book',
    'high',
    'no',
  );
  ann.typedAnswers.push('5000', '64', '', '');
  assert.equal(await ann.run('init --answers own.yaml'), 0);
  assert.equal(await ann.run('check --answers own.yaml'), 0);
  ann.note('own.yaml:');
  ann.transcript.push(...(ann.files.get('own.yaml') ?? '').trimEnd().split('\n'));
  checkGolden('questionnaire', ann.transcript);
});

test('an unknown outcome, invalid flags and a missing answers file each have their exit code', async () => {
  const { store, ann } = createSession();
  await ann.run('init --example cairnlea');
  const lost = store.session();
  for (let write = 0; write < 8; write++) lost.loseNextResponse('never');
  ann.nextStores.push(lost);
  assert.equal(await ann.run('apply'), 2);
  assert.equal(await ann.run('apply --store nowhere'), 3);
  assert.equal(await ann.run('apply --base x'), 3);
  assert.equal(await ann.run('apply --what'), 3);
  assert.equal(await ann.run('nothing'), 3);
  assert.equal(await ann.run('status --daemon nowhere'), 3);
  assert.equal(await ann.run('check --answers missing.yaml'), 3);
});
