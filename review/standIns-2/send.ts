import { connect } from 'node:net';
import type { EventRecord } from './eventRecord.js';

const HEAD_END = '\r\n\r\n';

/** A request without a body. */
export interface ClientRequest {
  to: string;
  method: 'GET' | 'POST';
  path: string;
  host: string;
  id: string;
  deadlineMs: number;
}

/** What a client has received. */
export interface ReceivedAnswer {
  /** 0 without an answer. */
  status: number;
  signature: string | undefined;
  /** Length that the answer announces; undefined if it ends with its connection. */
  length: number | undefined;
  /** Bytes of the body that arrived. */
  bodyBytes: number;
  /** Whether the answer is whole by its own framing. */
  isWhole: boolean;
  /** `whole`, `end` of the connection, `deadline`, or the code of an error. */
  reason: string;
  tookMs: number;
}

class Answer {
  status = 0;

  bodyBytes = 0;

  private readonly headers = new Map<string, string>();

  private head = Buffer.alloc(0);

  receive(piece: Buffer): void {
    if (this.status !== 0) {
      this.bodyBytes += piece.length;
      return;
    }
    this.head = Buffer.concat([this.head, piece]);
    const end = this.head.indexOf(HEAD_END);
    if (end >= 0) this.readHead(end);
  }

  get signature(): string | undefined {
    return this.headers.get('response-signature');
  }

  get length(): number | undefined {
    const length = this.headers.get('content-length');
    return length === undefined ? undefined : Number(length);
  }

  isWhole(isConnectionEnded: boolean): boolean {
    if (this.status === 0) return false;
    return this.length === undefined ? isConnectionEnded : this.bodyBytes >= this.length;
  }

  private readHead(end: number): void {
    const [first = '', ...lines] = this.head.subarray(0, end).toString('latin1').split('\r\n');
    this.status = Number(first.split(' ')[1]);
    lines.forEach((line) => {
      const colon = line.indexOf(':');
      this.headers.set(line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim());
    });
    this.bodyBytes = this.head.length - end - HEAD_END.length;
  }
}

function headOf({ method, path, host, id, deadlineMs }: ClientRequest): string {
  const lines = [`${method} ${path} HTTP/1.1`, `Host: ${host}`, `Request-Id: ${id}`];
  lines.push(`Deadline-Ms: ${deadlineMs}`);
  if (method === 'POST') lines.push('Content-Length: 0');
  return lines.join('\r\n') + HEAD_END;
}

/** Sends a request on a new connection and reads the answer. */
export function send(request: ClientRequest, record: EventRecord): Promise<ReceivedAnswer> {
  const [host = '', port] = request.to.split(':');
  return new Promise((resolve) => {
    const answer = new Answer();
    const socket = connect({ host, port: Number(port) });
    const startedAt = Date.now();
    let reason = 'end';
    let isDone = false;
    let deadline: NodeJS.Timeout | undefined;
    const finish = (finalReason: string): void => {
      if (isDone) return;
      isDone = true;
      clearTimeout(deadline);
      socket.destroy();
      const { status, signature, length, bodyBytes } = answer;
      const isWhole = answer.isWhole(finalReason === 'end');
      const tookMs = Date.now() - startedAt;
      const result = { status, signature, length, bodyBytes, isWhole, reason: finalReason, tookMs };
      record.add('answered', { request: request.id, ...result });
      resolve(result);
    };
    deadline = setTimeout(() => finish('deadline'), request.deadlineMs);
    socket.on('connect', () => {
      record.add('sent', { request: request.id, to: request.to, path: request.path });
      socket.write(headOf(request));
    });
    socket.on('data', (piece) => {
      answer.receive(piece);
      if (answer.isWhole(false)) finish('whole');
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      reason = error.code ?? error.message;
    });
    socket.on('close', () => finish(reason));
  });
}
