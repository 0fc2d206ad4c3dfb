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

/** What a target does for one call: wait, make the calls below, answer. */
export interface TargetCall {
  /** Time that the work takes, in milliseconds. */
  workMs: number;
  /** Calls made one after the other, `service.call`. */
  children: string[];
}

/** Settings of a target. */
export interface TargetSettings {
  service: string;
  address: string;
  /** 0 for any free port. */
  port: number;
  /** Call port of the daemon on the same host. */
  daemon: Endpoint;
  /** Calls worked on at once. */
  slots: number;
  /** Whether calls beyond the slots queue, without bound; otherwise all are worked on at once. */
  queueing?: boolean;
  /** By name within the service. */
  calls: Record<string, TargetCall>;
  /** Sends interim answers, so that its daemon notices silence before the deadline. */
  interimAnswers?: boolean;
  /** File to which each execution is written as it begins, one line of JSON each. */
  executionLog?: string;
}

/** An execution as it is written to the log. */
export interface LoggedExecution {
  call: string;
  root: string;
  key: string;
}

/** A target that runs. */
export interface Target {
  port: number;
  /** Number of executions begun, by call and key. */
  executions: Map<string, number>;
  stop(): Promise<void>;
}

/** One line of the answer: who ran what for whom. */
interface AnswerPart {
  call: string;
  root: string;
  below: unknown[];
}

/** Starts a target that announces itself to its daemon and calls others through it. */
export async function startTarget(settings: TargetSettings): Promise<Target> {
  const workers = new WorkerQueue(settings.queueing ? settings.slots : Infinity);
  const byRoot = new Map<string, number>();
  let slowness = 1;
  const executions = new Map<string, number>();
  const stopping = new AbortController();
  const daemonUrl = `http://${settings.daemon.address}:${settings.daemon.port}`;

  async function callBelow(name: string, message: HttpRequest): Promise<unknown> {
    const headers: CallHeaders = {
      [CallHeader.parent]: String(message.headers[CallHeader.parent] ?? ''),
    };
    const below = await request(`${daemonUrl}/call/${name.replace('.', '/')}`, {
      method: 'POST',
      headers,
      body: message.body,
      signal: message.signal,
    });
    const body = await below.body.text();
    if (below.statusCode !== 200) {
      throw new Error(`${name} answered ${below.statusCode}: ${body}`);
    }
    return JSON.parse(body);
  }

  /** Routes for measurements: what was begun for each root, and how slow the work is. */
  function administer(what: string, value: string): HttpResponse {
    if (what === 'slowness') slowness = Number(value);
    const body = JSON.stringify(what === 'executions' ? Object.fromEntries(byRoot) : {});
    return { status: 200, headers: {}, body: Buffer.from(body) };
  }

  function logExecution(execution: LoggedExecution): void {
    if (!settings.executionLog) return;
    // Written at once, so that it is known even if this process is killed next.
    appendFileSync(settings.executionLog, `${JSON.stringify(execution)}\n`);
  }

  async function work(call: TargetCall, name: string, message: HttpRequest): Promise<HttpResponse> {
    const { service } = settings;
    message.signal.throwIfAborted();
    const root = String(message.headers[CallHeader.root] ?? '');
    byRoot.set(root, (byRoot.get(root) ?? 0) + 1);
    const key = String(message.headers[CallHeader.key] ?? '');
    const executed = `${name}#${key}`;
    executions.set(executed, (executions.get(executed) ?? 0) + 1);
    const part: AnswerPart = {
      call: `${service}.${name}`,
      root,
      below: [],
    };
    logExecution({ call: part.call, root, key });
    if (call.workMs > 0) await systemClock.sleep(call.workMs * slowness, message.signal);
    for (const child of call.children) part.below.push(await callBelow(child, message));
    const body = Buffer.from(JSON.stringify(part));
    return { status: 200, headers: { 'content-type': 'application/json' }, body };
  }

  async function handle(message: HttpRequest): Promise<HttpResponse> {
    const [, service, name] = message.path.split('/');
    if (service === 'admin') return administer(name ?? '', message.path.split('/')[3] ?? '');
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
      return await work(call, name ?? '', message);
    } finally {
      workers.leave();
    }
  }

  async function answer(message: HttpRequest): Promise<HttpResponse> {
    try {
      return await handle(message);
    } catch (error) {
      const body = Buffer.from(JSON.stringify({ message: (error as Error).message }));
      return { status: 502, headers: { 'content-type': 'application/json' }, body };
    }
  }

  const listening = await listenHttp(settings.address, settings.port, MAX_BODY_BYTES, answer);
  listening.server.keepAliveTimeout = 60_000;
  const interim = settings.interimAnswers
    ? startInterimResponses(listening.server, systemClock)
    : undefined;

  async function announce(): Promise<number> {
    const announced = await request(`${daemonUrl}/announce`, {
      method: 'POST',
      body: JSON.stringify({
        service: settings.service,
        address: settings.address,
        port: listening.port,
        slots: settings.slots,
        interimAnswers: interim !== undefined,
      }),
    });
    const { renewAfterMs } = (await announced.body.json()) as { renewAfterMs: number };
    return renewAfterMs;
  }

  async function keepAnnounced(): Promise<void> {
    while (!stopping.signal.aborted) {
      const renewAfterMs = await announce().catch(() => 200);
      await systemClock.sleep(renewAfterMs, stopping.signal).catch(() => undefined);
    }
  }

  const announcing = keepAnnounced();
  return {
    port: listening.port,
    executions,
    stop: async () => {
      stopping.abort(new Error('the target stops'));
      await announcing;
      interim?.stop();
      await closeHttp(listening.server);
    },
  };
}
