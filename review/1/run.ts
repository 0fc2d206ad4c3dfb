// Part of an answer that was reset on its way looks like the whole answer to the client.
import { Connection } from '../standIns/connection.js';
import { runCase } from '../standIns/deployment.js';
import type { Deployment } from '../standIns/deployment.js';
import { sleep } from '../standIns/machine.js';

/** With TROUBLE=0 the case does the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

const PLAY_MS = 20_000;
const CLIENTS = 8;
const PAUSE_MS = 40;
const DEADLINE_MS = 5000;
const BODY_BYTES = 1600;
/** One of two upstreams breaks off 2 in 100 of its answers: share .5, x .02. */
const BROKEN_OFF_EACH = 50;

async function play(deployment: Deployment): Promise<object[]> {
  const notes = await deployment.addMachine('notes-1', 'circles');
  const otherNotes = await deployment.addMachine('notes-2', 'circles');
  // The answers of both upstreams have no length and end with their connection.
  const answers = { workMs: 20, bodyBytes: BODY_BYTES, unframed: true };
  const broken = { trouble: 'reset', troubleEach: BROKEN_OFF_EACH } as const;
  await notes.startUpstream({ '/notes/': { ...answers, ...(hasTrouble && broken) } });
  await otherNotes.startUpstream({ '/notes/': answers });
  deployment.configure(3, [
    {
      name: 'meeting-notes',
      prefix: '/notes/',
      service: 'circles',
      kind: 'idempotent',
      timeoutS: 5,
    },
  ]);
  await deployment.startDaemons();

  const endAt = Date.now() + PLAY_MS;
  const breaches: object[] = [];
  let lastId = 0;

  async function readNotes(): Promise<void> {
    while (Date.now() < endAt) {
      lastId += 1;
      const id = `r${lastId}`;
      deployment.record('sent', { id, machine: otherNotes.name });
      const connection = new Connection(otherNotes.outbound);
      const response = await connection.send({ url: `/notes/${id}`, id, deadlineMs: DEADLINE_MS });
      connection.destroy();
      const { outcome, how, status, headers, body } = response;
      const answered = { id, outcome, how, status, bytes: body.length, of: BODY_BYTES };
      deployment.record('answered', answered);
      const isSuccess = outcome === 'complete' && status === 200;
      if (isSuccess && body.length !== BODY_BYTES) breaches.push({ ...answered, headers });
      await sleep(PAUSE_MS);
    }
  }

  await Promise.all(Array.from({ length: CLIENTS }, () => readNotes()));
  deployment.record('end of the play', { requests: lastId, partsTakenForWhole: breaches.length });
  return breaches;
}

await runCase(1, play);
