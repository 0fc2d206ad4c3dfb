import { connect } from 'node:net';
import type { Socket } from 'node:net';

const HOST = 'clubs.example';
const HEAD_END = '\r\n\r\n';
const MS_PER_S = 1000;

/** Address at which a daemon takes requests. */
export interface Endpoint {
  address: string;
  port: number;
}

/** A request of a client. */
export interface ClientRequest {
  method?: 'GET' | 'POST';
  url: string;
  id: string;
  deadlineMs: number;
  body?: string;
}

interface ResponseHead {
  status: number;
  headers: Record<string, string>;
}

/** How a request ended: with a response that looks complete, with a part of one, or without one. */
export interface ClientResponse {
  outcome: 'complete' | 'cutOff' | 'noResponse' | 'notSent';
  /** How the connection ended; undefined if it is still open. */
  how: string | undefined;
  status: number | undefined;
  headers: Record<string, string>;
  body: Buffer;
}

/** How a client reads: `bytesPerS` in the first `slowMs`, then as fast as it can. */
export interface Reading {
  bytesPerS: number;
  slowMs: number;
}

function textOf({ method = 'GET', url, id, deadlineMs, body = '' }: ClientRequest): string {
  const lines = [
    `${method} ${url} HTTP/1.1`,
    `Host: ${HOST}`,
    `Request-Id: ${id}`,
    `Deadline-Ms: ${deadlineMs}`,
    ...(method === 'GET' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
  ];
  return `${lines.join('\r\n')}${HEAD_END}${body}`;
}

function parseHead(text: string): ResponseHead {
  const [statusLine = '', ...lines] = text.split('\r\n');
  const headers: Record<string, string> = {};
  lines.forEach((line) => {
    const colon = line.indexOf(':');
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  });
  return { status: Number(statusLine.split(' ')[1]), headers };
}

/** Connection of a client; it carries one request at a time. */
export class Connection {
  private readonly socket: Socket;

  private isOpen = true;

  private errorCode: string | undefined;

  private sentAt = 0;

  private received = Buffer.alloc(0);

  private head: ResponseHead | undefined;

  private bodyChunks: Buffer[] = [];

  private bodyBytes = 0;

  private settle: ((response: ClientResponse) => void) | undefined;

  constructor(
    { address, port }: Endpoint,
    private readonly reading?: Reading,
  ) {
    this.socket = connect({ host: address, port, noDelay: true });
    this.socket.on('error', (error: NodeJS.ErrnoException) => {
      this.errorCode = error.code;
    });
    this.socket.on('end', () => this.close('end'));
    this.socket.on('close', () => this.close(this.errorCode ?? 'close'));
    this.socket.on('data', (chunk: Buffer) => this.receive(chunk));
  }

  /** Sends a request, the second half of its body `pauseMs` after the rest. */
  send(request: ClientRequest, pauseMs = 0): Promise<ClientResponse> {
    this.sentAt = Date.now();
    this.received = Buffer.alloc(0);
    this.head = undefined;
    this.bodyChunks = [];
    this.bodyBytes = 0;
    return new Promise((resolve) => {
      this.settle = resolve;
      if (!this.isOpen) {
        this.finish('notSent', undefined);
        return;
      }
      const text = textOf(request);
      const heldBack = pauseMs > 0 ? Math.ceil((request.body?.length ?? 0) / 2) : 0;
      this.socket.write(text.slice(0, text.length - heldBack));
      if (heldBack === 0) return;
      setTimeout(() => this.socket.write(text.slice(text.length - heldBack)), pauseMs);
    });
  }

  destroy(): void {
    this.socket.destroy();
  }

  private receive(chunk: Buffer): void {
    this.slowDown(chunk.length);
    if (!this.settle) return;
    let body = chunk;
    if (!this.head) {
      this.received = Buffer.concat([this.received, chunk]);
      const end = this.received.indexOf(HEAD_END);
      if (end < 0) return;
      this.head = parseHead(this.received.toString('latin1', 0, end));
      body = this.received.subarray(end + HEAD_END.length);
    }
    this.bodyChunks.push(body);
    this.bodyBytes += body.length;
    const length = Number(this.head.headers['content-length'] ?? Infinity);
    if (this.bodyBytes >= length) this.finish('complete', undefined);
  }

  private slowDown(receivedBytes: number): void {
    if (!this.reading) return;
    const { bytesPerS, slowMs } = this.reading;
    const slowLeftMs = this.sentAt + slowMs - Date.now();
    if (slowLeftMs <= 0) return;
    this.socket.pause();
    const waitMs = Math.min((receivedBytes * MS_PER_S) / bytesPerS, slowLeftMs);
    setTimeout(() => this.socket.resume(), waitMs);
  }

  private close(how: string): void {
    this.isOpen = false;
    if (!this.settle) return;
    if (!this.head) {
      this.finish('noResponse', how);
      return;
    }
    const { headers } = this.head;
    const isFramed =
      headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
    // Without a length, the end of the connection is the end of the response.
    this.finish(!isFramed && how === 'end' ? 'complete' : 'cutOff', how);
  }

  private finish(outcome: ClientResponse['outcome'], how: string | undefined): void {
    const { settle, head } = this;
    this.settle = undefined;
    settle?.({
      outcome,
      how,
      status: head?.status,
      headers: head?.headers ?? {},
      body: Buffer.concat(this.bodyChunks),
    });
  }
}
