import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

/** A request parsed from the received bytes. */
export interface RawRequest {
  /** Value of the request id header. */
  id: string;
  body: string;
  socket: Socket;
  /** Number of the connection; the first is 1. */
  connection: number;
}

/** Called with every request and its number; the first is 1. */
export type RawHandler = (request: RawRequest, index: number) => void;

/** HTTP server on a raw socket: the handler writes the bytes of each response itself. */
export class RawServer {
  readonly requests: RawRequest[] = [];

  /** Bytes received, including those of incomplete requests. */
  receivedBytes = 0;

  connections = 0;

  private readonly sockets = new Set<Socket>();

  private waiters: (() => void)[] = [];

  private constructor(
    private readonly server: Server,
    readonly port: number,
    private readonly handler: RawHandler,
  ) {
    server.on('connection', (socket) => this.accept(socket));
  }

  static async listen(handler: RawHandler): Promise<RawServer> {
    const server = createServer();
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return new RawServer(server, (server.address() as AddressInfo).port, handler);
  }

  get endpoint() {
    return { address: '127.0.0.1', port: this.port };
  }

  /** Resolves when `count` complete requests have been received. */
  async waitForRequests(count: number): Promise<void> {
    while (this.requests.length < count) {
      await new Promise<void>((resolve) => {
        this.waiters.push(resolve);
      });
    }
  }

  async close(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private accept(socket: Socket): void {
    this.connections += 1;
    const connection = this.connections;
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
    let pending = '';
    socket.on('data', (data) => {
      this.receivedBytes += data.length;
      pending += data.toString('latin1');
      for (;;) {
        const request = RawServer.parse(pending);
        if (!request) return;
        pending = pending.slice(request.bytes);
        this.handle({ id: request.id, body: request.body, socket, connection });
      }
    });
  }

  private handle(request: RawRequest): void {
    this.requests.push(request);
    this.handler(request, this.requests.length);
    this.waiters.splice(0).forEach((resolve) => resolve());
  }

  private static parse(text: string) {
    const end = text.indexOf('\r\n\r\n');
    if (end < 0) return undefined;
    const head = text.slice(0, end);
    const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
    const bytes = end + 4 + length;
    if (text.length < bytes) return undefined;
    const id = /x-shallotcroft-request: (\S+)/i.exec(head)?.[1] ?? '';
    return { id, body: text.slice(end + 4, bytes), bytes };
  }
}

/** A complete response with the id and the body of its request. */
export function echoResponse(request: RawRequest, body = `response to ${request.body}`): string {
  return [
    'HTTP/1.1 200 OK',
    `x-shallotcroft-request: ${request.id}`,
    `content-length: ${body.length}`,
    '',
    body,
  ].join('\r\n');
}
