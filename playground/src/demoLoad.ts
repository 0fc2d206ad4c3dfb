import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { v7 as uuidv7 } from 'uuid';
import { CallHeader, ResultCode, resultNameOf, systemClock } from '@shallotcroft/core';
import type { Configuration, Importance } from '@shallotcroft/core';

const MS_PER_SECOND = 1000;

/** A call of the demonstration. */
export interface DemoCall {
  name: string;
  /** Share of all calls of the load, relative to the other shares. */
  share: number;
}

/** A load at a constant rate. */
export interface DemoLoad {
  calls: DemoCall[];
  /** Calls per second. */
  perSecond: number;
  /** Duration of the load, in seconds. */
  seconds: number;
  /** Call ports of the daemons, used in turn. */
  callPorts: number[];
}

/** Results of the calls of one importance. */
export interface DemoResultCounts {
  importance: Importance;
  sent: number;
  answered: number;
  /** Calls without status 200, by the name of their result. */
  failures: Map<string, number>;
}

interface DemoResponse {
  status: number;
  result: string;
  body: string;
}

/** Makes one call over HTTP. */
export async function makeCall(
  callPort: number,
  name: string,
  dispatcher: Dispatcher,
): Promise<DemoResponse> {
  const response = await request(`http://127.0.0.1:${callPort}/call/${name.replace('.', '/')}`, {
    method: 'POST',
    headers: {
      [CallHeader.caller]: `member-${Math.floor(Math.random() * 200)}`,
      [CallHeader.key]: uuidv7(),
    },
    body: '{}',
    dispatcher,
  });
  const code = Number(response.headers[CallHeader.code] ?? ResultCode.ok);
  const body = await response.body.text();
  const isChildCallFailure = code === ResultCode.ok && response.statusCode !== 200;
  const result = isChildCallFailure ? 'a child call failed' : (resultNameOf(code) ?? String(code));
  return { status: response.statusCode, result, body };
}

function selectCall(calls: DemoCall[]): DemoCall {
  let remaining = Math.random() * calls.reduce((sum, call) => sum + call.share, 0);
  const selected = calls.find((call) => {
    remaining -= call.share;
    return remaining < 0;
  });
  return selected ?? (calls[0] as DemoCall);
}

/** Makes calls at the rate of the load, without waiting for responses, and counts the results. */
export async function runLoad(
  load: DemoLoad,
  configuration: Configuration,
  dispatcher: Dispatcher,
): Promise<DemoResultCounts[]> {
  const countsByImportance = new Map<Importance, DemoResultCounts>();
  const pending: Promise<void>[] = [];

  function countsOf(name: string): DemoResultCounts {
    const importance = configuration.calls[name]?.importance ?? 'normal';
    const counts = countsByImportance.get(importance) ?? {
      importance,
      sent: 0,
      answered: 0,
      failures: new Map<string, number>(),
    };
    countsByImportance.set(importance, counts);
    return counts;
  }

  async function runOne(index: number): Promise<void> {
    const { name } = selectCall(load.calls);
    const counts = countsOf(name);
    counts.sent += 1;
    const port = load.callPorts[index % load.callPorts.length] as number;
    const { status, result } = await makeCall(port, name, dispatcher);
    if (status === 200) counts.answered += 1;
    else counts.failures.set(result, (counts.failures.get(result) ?? 0) + 1);
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
  return [...countsByImportance.values()];
}
