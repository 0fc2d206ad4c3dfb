import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { Logger } from '../observability/logger.js';
import { answerFields, helloFields, readHopMessage } from './hopMessages.js';
import type { HopResponse, HopPeer, HopRequest } from './hopMessages.js';
import { MessageStream } from './messageStream.js';

/** Answers one request of another daemon. Never rejects. */
export type HopHandler = (
  request: HopRequest,
  signal: AbortSignal,
  remoteAddress: string,
) => Promise<HopResponse>;

/** Takes requests of other daemons. */
export class HopServer {
  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  constructor(
    private readonly own: HopPeer,
    private readonly handler: HopHandler,
    private readonly logger: Logger,
  ) {
    this.server = createServer({ noDelay: true }, (socket) => this.serve(socket));
  }

  /** Listens; resolves with the port, rejects when the address is taken. */
  listen(address: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, () => {
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Ends all connections. */
  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** One task per connection: requests of a connection that is lost are cancelled. */
  private serve(socket: Socket): void {
    this.sockets.add(socket);
    const running = new Map<number, AbortController>();
    const remoteAddress = socket.remoteAddress ?? '';
    let other: HopPeer | undefined;
    const stream = new MessageStream(socket, (fields, body) => {
      const read = readHopMessage(fields, this.own, other);
      if (!read) {
        this.logger.log('warn', 'message of another daemon is not readable', { remoteAddress });
        socket.destroy();
      } else if (read.kind === 'hello') other = read.end;
      else if (read.kind === 'ping') stream.write(['pong']);
      else if (read.kind === 'cancel') running.get(read.id)?.abort(new Error('cancelled'));
      else if (read.kind === 'request') {
        const gone = new AbortController();
        running.set(read.id, gone);
        this.handler({ ...read.request, body }, gone.signal, remoteAddress)
          .then((hop) => {
            running.delete(read.id);
            if (!socket.destroyed) stream.write(answerFields(read.id, hop), hop.response.body);
          })
          .catch((error: Error) => socket.destroy(error));
      }
    });

    stream.write(helloFields(this.own));
    socket.on('error', (error) => {
      this.logger.log('debug', 'connection of another daemon failed', {
        remoteAddress,
        reason: error.message,
      });
    });
    socket.on('close', () => {
      this.sockets.delete(socket);
      running.forEach((gone) => gone.abort(new Error('the connection was lost')));
    });
  }
}
