import { appendFileSync } from 'node:fs';
import { request } from 'undici';
import {
  CallHeader,
  closeHttp,
  listenHttp,
  startInterimResponses,
  systemClock,
} from '@shallotcroft/core';
import type { CallHeaders, Endpoint, HttpResponse, HttpRequest } from '@shallotcroft/core';
import { WorkerQueue } from './workerQueue.js';

const MAX_BODY_BYTES = 1024 * 1024;

/** How a target executes one call: it works for a time, makes the child calls and responds. */
export interface TargetCall {
  /** Duration of the work, in milliseconds. */
  workMs: number;
  /** Child calls, made one after the other; each is `service.call`. */
  children: string[];
}

/** Settings of a target; the keys of its settings file. */
export interface TargetSettings {
  service: string;
  address: string;
  /** Port to listen on; 0 selects a free one. */
  port: number;
  /** Call endpoint of the daemon on the same host. */
  daemon: Endpoint;
  /** Number of calls that the target can execute at once, as announced to the daemon. */
  slots: number;
  /** Whether calls beyond the slots wait in an unbounded queue; otherwise all run concurrently. */
  queueing?: boolean;
  /** Calls of the service, by name without the service. */
  calls: Record<string, TargetCall>;
  /** Whether to send interim responses; they reveal a dead connection before the deadline. */
  interimAnswers?: boolean;
  /** File to which a line of JSON is appended when an execution begins. */
  executionLog?: string;
}

/** One line of the execution log. */
export interface LoggedExecution {
  call: string;
  root: string;
  key: string;
}

/** A running target. */
export interface Target {
  port: number;
  /** Number of executions begun, by `call#key`. */
  executions: Map<string, number>;
  stop(): Promise<void>;
}

/** JSON of a response: the executed call, its root and the responses of the child calls. */
interface CallTreeNode {
  call: string;
  root: string;
  /** Responses of the child calls. */
  below: unknown[];
}

/** Starts a target that announces itself to its daemon and makes its child calls through it. */
export async function startTarget(settings: TargetSettings): Promise<Target> {
  const workers = new WorkerQueue(settings.queueing ? settings.slots : Infinity);
  const executionsByRoot = new Map<string, number>();
  let slowdownFactor = 1;
  const executions = new Map<string, number>();
  const stopping = new AbortController();
  const daemonUrl = `http://${settings.daemon.address}:${settings.daemon.port}`;

  async function makeChildCall(name: string, message: HttpRequest): Promise<unknown> {
    const headers: CallHeaders = {
      [CallHeader.parent]: String(message.headers[CallHeader.parent] ?? ''),
    };
    const response = await request(`${daemonUrl}/call/${name.replace('.', '/')}`, {
      method: 'POST',
      headers,
      body: message.body,
      signal: message.signal,
    });
    const body = await response.body.text();
    if (response.statusCode !== 200) {
      throw new Error(`call ${name} failed with status ${response.statusCode}: ${body}`);
    }
    return JSON.parse(body);
  }

  /** Admin routes for measurements: reads the executions by root, sets the slowdown factor. */
  function handleAdmin(command: string, value: string): HttpResponse {
    if (command === 'slowness') slowdownFactor = Number(value);
    const body = JSON.stringify(
      command === 'executions' ? Object.fromEntries(executionsByRoot) : {},
    );
    return { status: 200, headers: {}, body: Buffer.from(body) };
  }

  function logExecution(execution: LoggedExecution): void {
    if (!settings.executionLog) return;
    // Written synchronously, so that the line is kept even if this process is killed right after.
    appendFileSync(settings.executionLog, `${JSON.stringify(execution)}\n`);
  }

  async function executeCall(
    call: TargetCall,
    name: string,
    message: HttpRequest,
  ): Promise<HttpResponse> {
    const { service } = settings;
    message.signal.throwIfAborted();
    const root = String(message.headers[CallHeader.root] ?? '');
    executionsByRoot.set(root, (executionsByRoot.get(root) ?? 0) + 1);
    const key = String(message.headers[CallHeader.key] ?? '');
    const executionKey = `${name}#${key}`;
    executions.set(executionKey, (executions.get(executionKey) ?? 0) + 1);
    const node: CallTreeNode = {
      call: `${service}.${name}`,
      root,
      below: [],
    };
    logExecution({ call: node.call, root, key });
    if (call.workMs > 0) await systemClock.sleep(call.workMs * slowdownFactor, message.signal);
    for (const child of call.children) node.below.push(await makeChildCall(child, message));
    const body = Buffer.from(JSON.stringify(node));
    return { status: 200, headers: { 'content-type': 'application/json' }, body };
  }

  async function handleRequest(message: HttpRequest): Promise<HttpResponse> {
    const [, service, name] = message.path.split('/');
    if (service === 'admin') return handleAdmin(name ?? '', message.path.split('/')[3] ?? '');
    const call = settings.calls[name ?? ''];
    if (service !== settings.service || !call) {
      return { status: 404, headers: {}, body: Buffer.from('{}') };
    }
    const latestStart = Number(message.headers[CallHeader.latestStart] ?? Infinity);
    if (Date.now() > latestStart) {
      return { status: 503, headers: { [CallHeader.refused]: '1' }, body: Buffer.from('{}') };
    }
    await workers.enter();
    try {
      return await executeCall(call, name ?? '', message);
    } finally {
      workers.leave();
    }
  }

  async function respond(message: HttpRequest): Promise<HttpResponse> {
    try {
      return await handleRequest(message);
    } catch (error) {
      const body = Buffer.from(JSON.stringify({ message: (error as Error).message }));
      return { status: 502, headers: { 'content-type': 'application/json' }, body };
    }
  }

  const listening = await listenHttp(settings.address, settings.port, MAX_BODY_BYTES, respond);
  listening.server.keepAliveTimeout = 60_000;
  const interimResponses = settings.interimAnswers
    ? startInterimResponses(listening.server, systemClock)
    : undefined;

  async function announce(): Promise<number> {
    const response = await request(`${daemonUrl}/announce`, {
      method: 'POST',
      body: JSON.stringify({
        service: settings.service,
        address: settings.address,
        port: listening.port,
        slots: settings.slots,
        interimAnswers: interimResponses !== undefined,
      }),
    });
    const { renewAfterMs } = (await response.body.json()) as { renewAfterMs: number };
    return renewAfterMs;
  }

  async function renewAnnouncements(): Promise<void> {
    while (!stopping.signal.aborted) {
      const renewAfterMs = await announce().catch(() => 200);
      await systemClock.sleep(renewAfterMs, stopping.signal).catch(() => undefined);
    }
  }

  const renewal = renewAnnouncements();
  return {
    port: listening.port,
    executions,
    stop: async () => {
      stopping.abort(new Error('the target is stopping'));
      await renewal;
      interimResponses?.stop();
      await closeHttp(listening.server);
    },
  };
}
