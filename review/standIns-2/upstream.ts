import { createServer, request as httpRequest } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { EventRecord } from './eventRecord.js';

/** Interval of the heartbeats, in milliseconds, as `heartbeatIntervalS` states it. */
const HEARTBEAT_INTERVAL_MS = 1500;
const IDLE_CLOSE_MS = 10_000;
const SLOTS = 139;

/** Runs a request. */
export type UpstreamHandler = (incoming: IncomingMessage, response: ServerResponse) => void;

/** Identity and behaviour of an upstream. */
export interface UpstreamOptions {
  id: string;
  service: string;
  zone: string;
  address: string;
  record: EventRecord;
  handler: UpstreamHandler;
}

/** A request that an upstream has begun to run. */
export interface Run {
  requestId: string;
  /** Unix time in milliseconds. */
  at: number;
}

/** Stand-in for an application upstream with its heartbeats. */
export class Upstream {
  readonly runs: Run[] = [];

  private readonly server: Server;

  private readonly born = Date.now();

  private sequence = 0;

  private controlPlane = '';

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: UpstreamOptions) {
    this.server = createServer({ keepAliveTimeout: IDLE_CLOSE_MS }, (incoming, response) => {
      incoming.resume();
      incoming.on('end', () => this.serve(incoming, response));
    });
  }

  get id(): string {
    return this.options.id;
  }

  /** Where it listens. */
  get appAddress(): string {
    return `${this.options.address}:${(this.server.address() as AddressInfo).port}`;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, this.options.address, resolve);
    });
  }

  /** Ends at once, as at the end of its process. */
  stop(): void {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Sends heartbeats to the address `controlPlane` from now on. */
  async report(controlPlane: string): Promise<void> {
    this.controlPlane = controlPlane;
    this.timer = setInterval(() => this.deliver(this.writeHeartbeat()), HEARTBEAT_INTERVAL_MS);
    await this.deliver(this.writeHeartbeat());
  }

  /** Writes a heartbeat with the present state; `deliver` sends it, now or later. */
  writeHeartbeat(): object {
    const { service, zone } = this.options;
    this.sequence += 1;
    return {
      address: this.appAddress,
      born: this.born,
      serviceInfo: { service, version: 'v1', zone, slots: SLOTS },
      status: { state: 'ready', sequence: this.sequence, coldRemainingS: 0 },
    };
  }

  /** Sends a heartbeat; resolves with the status of the answer, 0 without one. */
  deliver(heartbeat: object): Promise<number> {
    return this.tell('PUT', JSON.stringify(heartbeat));
  }

  /** Deregisters, and sends no heartbeats from then on; resolves with the status of the answer. */
  leave(): Promise<number> {
    clearInterval(this.timer);
    return this.tell('DELETE', '');
  }

  private serve(incoming: IncomingMessage, response: ServerResponse): void {
    const { id, record, handler } = this.options;
    const requestId = String(incoming.headers['request-id']);
    response.setHeader('Request-Id', requestId);
    if (incoming.headers['expected-instance'] !== id) {
      response.writeHead(421, { 'Instance-Id': id }).end();
      return;
    }
    this.runs.push({ requestId, at: Date.now() });
    record.add('run', { upstream: id, request: requestId, url: incoming.url });
    handler(incoming, response);
  }

  private tell(method: string, body: string): Promise<number> {
    const [host, port] = this.controlPlane.split(':');
    const path = `/instances/${this.id}`;
    const headers = { 'content-type': 'application/json' };
    return new Promise((resolve) => {
      const outgoing = httpRequest({ host, port, method, path, headers, agent: false });
      outgoing.on('response', (incoming) => {
        incoming.resume();
        resolve(incoming.statusCode ?? 0);
      });
      outgoing.on('error', () => resolve(0));
      outgoing.end(body);
    });
  }
}

/** Creates a handler that answers with 200, the signature and a short body after a time. */
export function answerAfter(workMs: number): UpstreamHandler {
  return (_incoming, response) => {
    setTimeout(() => {
      response.writeHead(200, { 'Response-Signature': 'signed' });
      response.end('done');
    }, workMs);
  };
}
