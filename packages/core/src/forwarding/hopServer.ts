import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { Logger } from '../observability/logger.js';
import { ArrivalBatch } from '../runtime/arrivalBatch.js';
import { encodeResponse, encodeHello, decodeHopMessage } from './hopMessages.js';
import type { HopResponse, HopPeer, HopRequest } from './hopMessages.js';
import { MessageStream } from './messageStream.js';

/** Handles a request of another daemon. Never rejects. */
export type HopHandler = (
  request: HopRequest,
  signal: AbortSignal,
  remoteAddress: string,
) => Promise<HopResponse>;

/** Receives requests of other daemons. */
export class HopServer {
  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  private readonly arrivals = new ArrivalBatch();

  constructor(
    private readonly local: HopPeer,
    private readonly handler: HopHandler,
    private readonly logger: Logger,
  ) {
    this.server = createServer({ noDelay: true }, (socket) => this.serve(socket));
  }

  /** Starts to listen; resolves with the port, rejects when the address is in use. */
  listen(address: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, () => {
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Serves a connection; when it is lost, all its requests are cancelled. */
  private serve(socket: Socket): void {
    this.sockets.add(socket);
    const controllers = new Map<number, AbortController>();
    const remoteAddress = socket.remoteAddress ?? '';
    let remote: HopPeer | undefined;
    const stream = new MessageStream(socket, (fields, body) => {
      const message = decodeHopMessage(fields, this.local, remote);
      if (!message) {
        this.logger.log('warn', 'invalid message from another daemon', { remoteAddress });
        socket.destroy();
      } else if (message.kind === 'hello') remote = message.peer;
      else if (message.kind === 'ping') stream.write(['pong']);
      else if (message.kind === 'cancel') {
        controllers.get(message.id)?.abort(new Error('the calling daemon cancelled the request'));
      } else if (message.kind === 'request') {
        const { id, request } = message;
        const controller = new AbortController();
        controllers.set(id, controller);
        this.arrivals.add(() => {
          this.handler({ ...request, body }, controller.signal, remoteAddress)
            .then((response) => {
              controllers.delete(id);
              if (!socket.destroyed) {
                stream.write(encodeResponse(id, response), response.response.body);
              }
            })
            .catch((error: Error) => socket.destroy(error));
        });
      }
    });

    stream.write(encodeHello(this.local));
    socket.on('error', (error) => {
      this.logger.log('debug', 'connection from another daemon failed', {
        remoteAddress,
        reason: error.message,
      });
    });
    socket.on('close', () => {
      this.sockets.delete(socket);
      controllers.forEach((controller) => controller.abort(new Error('the connection was lost')));
    });
  }
}
