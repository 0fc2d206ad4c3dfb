// One answer with a wrong byte in its status line stops the daemon that reads it for seconds.
import { Connection } from '../standIns/connection.js';
import { runCase } from '../standIns/deployment.js';
import type { Deployment } from '../standIns/deployment.js';
import { sleep } from '../standIns/machine.js';

/** With TROUBLE=0 the case does the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

const PLAY_MS = 20_000;
const KEPT_CONNECTIONS = 16;
const DEADLINE_MS = 5000;
const ROUTE_TIMEOUT_MS = 800;
/** Half a second after its route's timeout a request must have its answer. */
const LATE_AFTER_MS = ROUTE_TIMEOUT_MS + 500;
/** The rule names eight requests and a quarter, or more than half, of those that last so long. */
const ALLOWED_LATE = 7;
const ALLOWED_LATE_SHARE = 0.5;
/** One of two upstreams has one such answer in its first 50: share .5, x .02. */
const WRONG_BYTE_EACH = 50;
const NOTES_INTERVAL_MS = 60;
const READINESS_INTERVAL_MS = 1000;

async function play(deployment: Deployment): Promise<object[]> {
  const notes = await deployment.addMachine('notes-1', 'circles');
  const otherNotes = await deployment.addMachine('notes-2', 'circles');
  const sets = await deployment.addMachine('sets-1', 'reservations');
  const answers = { workMs: 20 };
  const wrong = { trouble: 'wrongByte', troubleEach: WRONG_BYTE_EACH } as const;
  await notes.startUpstream({ '/notes/': { ...answers, ...(hasTrouble && wrong) } });
  await otherNotes.startUpstream({ '/notes/': answers });
  await sets.startUpstream({ '/sets/': { workMs: 300 } });
  const timeoutS = ROUTE_TIMEOUT_MS / 1000;
  deployment.configure(3, [
    {
      name: 'reserve-set',
      prefix: '/sets/',
      service: 'reservations',
      kind: 'non_idempotent',
      timeoutS,
    },
    { name: 'meeting-notes', prefix: '/notes/', service: 'circles', kind: 'idempotent', timeoutS },
  ]);
  await deployment.startDaemons();

  const endAt = Date.now() + PLAY_MS;
  const isOver = (): boolean => Date.now() > endAt;
  /** Requests that the sound upstream ran and that had no answer at their route's timeout. */
  const lasting: { tookMs: number }[] = [];
  let lastId = 0;

  function nextId(): string {
    lastId += 1;
    return `r${lastId}`;
  }

  async function reserveSets(): Promise<void> {
    let connection = new Connection(notes.outbound);
    while (!isOver()) {
      const id = nextId();
      const sentAt = Date.now();
      deployment.record('sent', { id, machine: notes.name, to: 'reservations' });
      const { outcome, how, status } = await connection.send({
        method: 'POST',
        url: `/sets/${id}`,
        id,
        deadlineMs: DEADLINE_MS,
        body: 'set',
      });
      const answered = { id, outcome, how, status, tookMs: Date.now() - sentAt };
      deployment.record('answered', answered);
      // A request that has run was read by the daemon before it stopped working.
      if (answered.tookMs > ROUTE_TIMEOUT_MS && sets.runs.has(id)) lasting.push(answered);
      if (outcome !== 'complete') {
        connection.destroy();
        connection = new Connection(notes.outbound);
      }
    }
    connection.destroy();
  }

  async function readNotes(): Promise<void> {
    const id = nextId();
    deployment.record('sent', { id, machine: notes.name, to: 'circles' });
    const connection = new Connection(notes.outbound);
    const response = await connection.send({ url: `/notes/${id}`, id, deadlineMs: DEADLINE_MS });
    const { outcome, how, status } = response;
    deployment.record('answered', { id, outcome, how, status });
    connection.destroy();
  }

  async function checkReadiness(): Promise<void> {
    while (!isOver()) {
      const askedAt = Date.now();
      const status = await notes.checkReadiness();
      deployment.record('readiness', { status, tookMs: Date.now() - askedAt });
      await sleep(READINESS_INTERVAL_MS);
    }
  }

  const kept = Array.from({ length: KEPT_CONNECTIONS }, () => reserveSets());
  const readiness = checkReadiness();
  const reads: Promise<void>[] = [];
  while (!isOver()) {
    reads.push(readNotes());
    await sleep(NOTES_INTERVAL_MS);
  }
  await Promise.all([...kept, ...reads, readiness]);
  const late = lasting.filter(({ tookMs }) => tookMs > LATE_AFTER_MS);
  deployment.record('end of the play', { unansweredAtTimeout: lasting.length, late: late.length });
  const isBroken = late.length > ALLOWED_LATE && late.length > ALLOWED_LATE_SHARE * lasting.length;
  return isBroken ? late : [];
}

await runCase(4, play);
