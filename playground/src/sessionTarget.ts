import { CallHeader, ResultCode } from '@shallotcroft/core';
import type { CallResponse, CallHeaders, CallTransport, Clock, Endpoint } from '@shallotcroft/core';
import type { Arrival } from './callNetwork.js';
import type { Execution } from './invariants.js';

const SEND_TIMEOUT_MS = 10_000;
const MAX_RESPONSE_BYTES = 10_000;

/** Behaviour of a target in a session. */
export interface TargetBehaviour {
  /** Duration of the work before the child calls, in milliseconds. */
  workMs: number;
  /** Whether child calls are made concurrently. */
  concurrent: boolean;
  /** Number of retries of a failed child call by the target itself. */
  ownRetries: number;
  /** Whether it refuses calls with 503 and the header that they were not executed. */
  refuses: boolean;
  /** Whether it responds with 503 after the execution, without stating whether it began. */
  overloaded: boolean;
  /** Whether it relays the response of a failed child call with all its headers. */
  relaysFailures: boolean;
}

/** Options of `createSessionTarget`. */
export interface SessionTargetOptions {
  host: string;
  clock: Clock;
  transport: CallTransport;
  /** Call endpoint of its daemon. */
  daemon: Endpoint;
  childrenOf: (call: string) => string[];
  behaviour: TargetBehaviour;
  executions: Execution[];
  log: (line: string) => void;
}

/** JSON of a response: the executed call, its root and the responses of the child calls. */
export interface CallTreeNode {
  call: string;
  root: string;
  /** Responses of the child calls, in the order of the configuration. */
  below: CallTreeNode[];
}

function createResponse(status: number, body: string, headers: CallHeaders = {}): CallResponse {
  return { status, headers, body: Buffer.from(body) };
}

class ChildCallError extends Error {
  constructor(readonly response: CallResponse) {
    super('a child call failed');
  }
}

/** Creates the request handler of a target that works, makes its child calls and responds. */
export function createSessionTarget(options: SessionTargetOptions) {
  const { clock, behaviour, log, host } = options;

  async function sendChildCall(name: string, arrival: Arrival): Promise<CallResponse> {
    const headers = {
      [CallHeader.parent]: arrival.request.headers[CallHeader.parent] ?? '',
      // The label is constant, so that a retry by the target is recognised as the same child call.
      [CallHeader.label]: 'only',
    };
    const sent = await options.transport.send(
      options.daemon,
      `/call/${name.replace('.', '/')}`,
      { call: name, headers, body: Buffer.alloc(0) },
      { timeoutMs: SEND_TIMEOUT_MS, maxResponseBytes: MAX_RESPONSE_BYTES, signal: arrival.signal },
    );
    if (sent.isOk()) return sent.value;
    const code = sent.error.code === ResultCode.ok ? 'none' : sent.error.code;
    return createResponse(502, 'lost', { [CallHeader.code]: String(code) });
  }

  async function makeChildCall(name: string, arrival: Arrival): Promise<CallTreeNode> {
    let response = await sendChildCall(name, arrival);
    let retries = 0;
    while (response.status !== 200 && retries < behaviour.ownRetries) {
      retries += 1;
      response = await sendChildCall(name, arrival);
    }
    if (retries > 0) log(`${host} retried ${name} ${retries} times`);
    if (response.status !== 200) throw new ChildCallError(response);
    return JSON.parse(response.body.toString()) as CallTreeNode;
  }

  async function makeChildCalls(names: string[], arrival: Arrival): Promise<CallTreeNode[]> {
    if (behaviour.concurrent) {
      return Promise.all(names.map((name) => makeChildCall(name, arrival)));
    }
    const nodes: CallTreeNode[] = [];
    for (const name of names) nodes.push(await makeChildCall(name, arrival));
    return nodes;
  }

  async function execute(execution: Execution, arrival: Arrival): Promise<CallResponse> {
    const { call, root } = execution;
    await clock.sleep(behaviour.workMs, arrival.signal);
    const childNodes = await makeChildCalls(options.childrenOf(call), arrival);
    arrival.signal.throwIfAborted();
    if (behaviour.overloaded) return createResponse(503, 'busy');
    const node: CallTreeNode = { call, root, below: childNodes };
    return createResponse(200, JSON.stringify(node));
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
      return createResponse(503, 'full', { [CallHeader.refused]: '1' });
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
      if (error instanceof ChildCallError && behaviour.relaysFailures) {
        return { ...error.response, status: 502 };
      }
      return createResponse(502, 'a child call failed');
    }
  };
}
