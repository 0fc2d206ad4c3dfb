import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { createHeldBytes } from '../http/heldBytes.js';
import type { HeldBytes } from '../http/heldBytes.js';
import type { Logger } from '../observability/logger.js';
import { ArrivalBatch } from '../runtime/arrivalBatch.js';
import { encodeResponse, encodeHello, decodeHopMessage } from './hopMessages.js';
import type { HopResponse, HopPeer, HopRequest } from './hopMessages.js';
import { MessageStream } from './messageStream.js';

const NO_BODY = Buffer.alloc(0);

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
    private readonly heldBytes: HeldBytes = createHeldBytes(),
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

  private respond(stream: MessageStream, id: number, hopResponse: HopResponse): void {
    const { body } = hopResponse.response;
    const share = this.heldBytes.responses.openShare();
    share.addHeld(body.length);
    stream.write(encodeResponse(id, hopResponse), body, () => share.close());
  }

  /** Serves a connection; when it is lost, all its requests are cancelled. */
  private serve(socket: Socket): void {
    this.sockets.add(socket);
    const controllers = new Map<number, AbortController>();
    const remoteAddress = socket.remoteAddress ?? '';
    let remote: HopPeer | undefined;
    const stream: MessageStream = new MessageStream(
      socket,
      (fields, body, share) => {
        const message = decodeHopMessage(fields, this.local, remote);
        if (message?.kind !== 'request') share.close();
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
          const received = body ? { body } : { body: NO_BODY, isBodyMissing: true };
          this.arrivals.add(() => {
            this.handler({ ...request, ...received }, controller.signal, remoteAddress)
              .then((response) => {
                controllers.delete(id);
                if (!socket.destroyed) this.respond(stream, id, response);
              })
              .catch((error: Error) => socket.destroy(error))
              .finally(() => share.close());
          });
        }
      },
      this.heldBytes.requests,
    );

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
