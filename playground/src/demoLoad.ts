import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { v7 as uuidv7 } from 'uuid';
import { CallHeader, ResultCode, resultNameOf, systemClock } from '@shallotcroft/core';
import type { Configuration, Importance } from '@shallotcroft/core';

const MS_PER_SECOND = 1000;

/** A call that the demonstration makes, and its share of all calls. */
export interface DemoCall {
  name: string;
  share: number;
}

/** A load: calls at a rate, for a time. */
export interface DemoLoad {
  calls: DemoCall[];
  perSecond: number;
  seconds: number;
  /** Call ports of the daemons that are called in turn. */
  callPorts: number[];
}

/** How the calls of one importance ended. */
export interface DemoTally {
  importance: Importance;
  sent: number;
  answered: number;
  /** Calls that ended otherwise, by the name of their result. */
  others: Map<string, number>;
}

interface DemoAnswer {
  status: number;
  result: string;
  body: string;
}

/** Makes one call over HTTP, as any caller would. */
export async function makeCall(
  callPort: number,
  name: string,
  dispatcher: Dispatcher,
): Promise<DemoAnswer> {
  const answer = await request(`http://127.0.0.1:${callPort}/call/${name.replace('.', '/')}`, {
    method: 'POST',
    headers: {
      [CallHeader.caller]: `member-${Math.floor(Math.random() * 200)}`,
      [CallHeader.key]: uuidv7(),
    },
    body: '{}',
    dispatcher,
  });
  const code = Number(answer.headers[CallHeader.code] ?? ResultCode.ok);
  const body = await answer.body.text();
  const failedBelow = code === ResultCode.ok && answer.statusCode !== 200;
  const result = failedBelow ? 'a call below failed' : (resultNameOf(code) ?? String(code));
  return { status: answer.statusCode, result, body };
}

function pickCall(calls: DemoCall[]): DemoCall {
  let rest = Math.random() * calls.reduce((sum, call) => sum + call.share, 0);
  const picked = calls.find((call) => {
    rest -= call.share;
    return rest < 0;
  });
  return picked ?? (calls[0] as DemoCall);
}

/** Makes the calls of a load at its rate, whatever becomes of them, and counts how they ended. */
export async function runLoad(
  load: DemoLoad,
  configuration: Configuration,
  dispatcher: Dispatcher,
): Promise<DemoTally[]> {
  const tallies = new Map<Importance, DemoTally>();
  const pending: Promise<void>[] = [];

  function tallyOf(name: string): DemoTally {
    const importance = configuration.calls[name]?.importance ?? 'normal';
    const tally = tallies.get(importance) ?? {
      importance,
      sent: 0,
      answered: 0,
      others: new Map<string, number>(),
    };
    tallies.set(importance, tally);
    return tally;
  }

  async function runOne(index: number): Promise<void> {
    const { name } = pickCall(load.calls);
    const tally = tallyOf(name);
    tally.sent += 1;
    const port = load.callPorts[index % load.callPorts.length] as number;
    const { status, result } = await makeCall(port, name, dispatcher);
    if (status === 200) tally.answered += 1;
    else tally.others.set(result, (tally.others.get(result) ?? 0) + 1);
  }

  const startedAt = systemClock.now();
  const total = load.perSecond * load.seconds;
  for (let index = 0; index < total; index++) {
    const dueAt = startedAt + (index * MS_PER_SECOND) / load.perSecond;
    const waitMs = dueAt - systemClock.now();
    if (waitMs > 0) await systemClock.sleep(waitMs);
    pending.push(runOne(index));
  }
  await Promise.all(pending);
  return [...tallies.values()];
}
