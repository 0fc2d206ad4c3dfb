import { CallHeader, ResultCode } from '@shallotcroft/core';
import type { CallResponse, CallHeaders, CallTransport, Clock, Endpoint } from '@shallotcroft/core';
import type { Arrival } from './callNetwork.js';
import type { Execution } from './invariants.js';

const SEND_TIMEOUT_MS = 10_000;
const MAX_ANSWER_BYTES = 10_000;

/** How a target behaves. */
export interface TargetBehaviour {
  /** Time that one call takes before it calls others, in milliseconds. */
  workMs: number;
  /** Makes its calls at the same time. */
  concurrent: boolean;
  /** Times that it tries a failed call again by itself. */
  ownRetries: number;
  /** Refuses calls before it begins, and says so. */
  refuses: boolean;
  /** Answers 503 after it has begun, and does not say whether it began. */
  overloaded: boolean;
  /** Relays the answer of a failed call with all its headers. */
  relaysFailures: boolean;
}

/** What a target in a session needs. */
export interface SessionTargetOptions {
  host: string;
  clock: Clock;
  transport: CallTransport;
  /** Call port of its daemon. */
  daemon: Endpoint;
  childrenOf: (call: string) => string[];
  behaviour: TargetBehaviour;
  executions: Execution[];
  log: (line: string) => void;
}

/** Answer of a target: what ran for which root, and the answers of the calls below. */
export interface AnswerPart {
  call: string;
  root: string;
  below: AnswerPart[];
}

function answerOf(status: number, body: string, headers: CallHeaders = {}): CallResponse {
  return { status, headers, body: Buffer.from(body) };
}

class FailedChild extends Error {
  constructor(readonly response: CallResponse) {
    super('a call below failed');
  }
}

/** Makes a target that works for a while, calls others, and answers. */
export function createSessionTarget(options: SessionTargetOptions) {
  const { clock, behaviour, log, host } = options;

  async function callOnce(name: string, arrival: Arrival): Promise<CallResponse> {
    const headers = {
      [CallHeader.parent]: arrival.request.headers[CallHeader.parent] ?? '',
      // Its own retry of a call is the same call, and is to be recognised as such.
      [CallHeader.label]: 'only',
    };
    const sent = await options.transport.send(
      options.daemon,
      `/call/${name.replace('.', '/')}`,
      { call: name, headers, body: Buffer.alloc(0) },
      { timeoutMs: SEND_TIMEOUT_MS, maxResponseBytes: MAX_ANSWER_BYTES, signal: arrival.signal },
    );
    if (sent.isOk()) return sent.value;
    const code = sent.error.code === ResultCode.ok ? 'none' : sent.error.code;
    return answerOf(502, 'lost', { [CallHeader.code]: String(code) });
  }

  async function callBelow(name: string, arrival: Arrival): Promise<AnswerPart> {
    let response = await callOnce(name, arrival);
    let retries = 0;
    while (response.status !== 200 && retries < behaviour.ownRetries) {
      retries += 1;
      response = await callOnce(name, arrival);
    }
    if (retries > 0) log(`${host} called ${name} ${retries} more times by itself`);
    if (response.status !== 200) throw new FailedChild(response);
    return JSON.parse(response.body.toString()) as AnswerPart;
  }

  async function callAllBelow(names: string[], arrival: Arrival): Promise<AnswerPart[]> {
    if (behaviour.concurrent) {
      return Promise.all(names.map((name) => callBelow(name, arrival)));
    }
    const answers: AnswerPart[] = [];
    for (const name of names) answers.push(await callBelow(name, arrival));
    return answers;
  }

  async function execute(execution: Execution, arrival: Arrival): Promise<CallResponse> {
    const { call, root } = execution;
    await clock.sleep(behaviour.workMs, arrival.signal);
    const below = await callAllBelow(options.childrenOf(call), arrival);
    arrival.signal.throwIfAborted();
    if (behaviour.overloaded) return answerOf(503, 'busy');
    const part: AnswerPart = { call, root, below };
    return answerOf(200, JSON.stringify(part));
  }

  function finish(execution: Execution, end: Exclude<Execution['end'], undefined>): void {
    Object.assign(execution, { end, endedAt: clock.now() });
    log(`${host} ${end} ${execution.call} for ${execution.root}`);
  }

  return async (arrival: Arrival): Promise<CallResponse> => {
    const { headers } = arrival.request;
    const root = headers[CallHeader.root] ?? '';
    const call = arrival.path.slice(1).replace('/', '.');
    if (behaviour.refuses) {
      log(`${host} refuses ${call} for ${root}`);
      return answerOf(503, 'full', { [CallHeader.refused]: '1' });
    }
    const execution: Execution = {
      root,
      call,
      key: headers[CallHeader.key],
      host,
      begunAt: clock.now(),
      endedAt: undefined,
      end: undefined,
    };
    options.executions.push(execution);
    log(`${host} begins ${call} for ${root}`);
    try {
      const response = await execute(execution, arrival);
      finish(execution, 'answered');
      return response;
    } catch (error) {
      finish(execution, arrival.signal.aborted ? 'cancelled' : 'failed');
      if (error instanceof FailedChild && behaviour.relaysFailures) {
        return { ...error.response, status: 502 };
      }
      return answerOf(502, 'a call below failed');
    }
  };
}
