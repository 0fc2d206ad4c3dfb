import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { MemoryDatabase, MemoryStore, ResultCode, readBody } from '@shallotcroft/core';
import type { Clock, EtcdWatchRequest, LostWriteEffect, StoreCounts } from '@shallotcroft/core';
import polka from 'polka';
import { createGatewayRoutes } from './storeGateway.js';
import type { GatewayRoute } from './storeGateway.js';
import { streamWatch } from './storeWatch.js';

const LOOPBACK = '127.0.0.1';
const MAX_BODY_BYTES = 4 * 1024 * 1024;
const IDLE_TIMEOUT_MS = 30_000;

/** Faults of the stand-in; absent fields stay as they are. */
export interface StoreFaults {
  /** Refuses connections and ends those that are open. */
  down?: boolean;
  /** Time that each call takes, in milliseconds. */
  slowMs?: number;
  /** Loses the answer of the next write. */
  loseNextAnswer?: LostWriteEffect;
  /** Lets lost writes that were held back take effect. */
  landLateWrites?: boolean;
  /** Makes the connections that are open now silent for good; new ones work. */
  silenceConnections?: boolean;
  /** Forgets the changes made so far, so that a watch can't resume from them. */
  compact?: boolean;
}

/** Options of the stand-in; port 0 takes a free one. */
export interface StoreStandInOptions {
  clock: Clock;
  port?: number;
  adminPort?: number;
}

function stopListening(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

function writeJson(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

async function readJson(incoming: IncomingMessage): Promise<unknown> {
  const body = await readBody(incoming, MAX_BODY_BYTES);
  return JSON.parse(body.length === 0 ? '{}' : body.toString('utf8'));
}

type Handler = (incoming: IncomingMessage, response: ServerResponse) => Promise<void>;

function serveOn(server: Server, port: number, handler: Handler): Promise<number> {
  const application = polka({ server });
  application.use((incoming, response) => {
    handler(incoming, response).catch(() => incoming.socket.destroy());
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    application.listen(port, LOOPBACK, () => resolve((server.address() as AddressInfo).port));
  });
}

/** A store on loopback that speaks the used subset of the etcd v3 HTTP/JSON gateway, with faults. */
export class StoreStandIn {
  /** Contents, for tests in the same process. */
  readonly database: MemoryDatabase;

  private readonly store: MemoryStore;

  private readonly routes: Record<string, GatewayRoute>;

  private readonly sockets = new Set<Socket>();

  private readonly silentSockets = new WeakSet<Socket>();

  private readonly adminServer = createServer();

  private storeServer: Server | undefined;

  private storePort: number;

  private adminListeningPort: number;

  constructor(options: StoreStandInOptions) {
    this.database = new MemoryDatabase(options.clock);
    this.store = new MemoryStore(options.clock, this.database, Infinity);
    this.routes = createGatewayRoutes(this.store);
    this.storePort = options.port ?? 0;
    this.adminListeningPort = options.adminPort ?? 0;
  }

  /** Port of the store. */
  get port(): number {
    return this.storePort;
  }

  /** Port that answers POST /admin/faults and /admin/counts, also while the store is down. */
  get adminPort(): number {
    return this.adminListeningPort;
  }

  /** How often the store was called. */
  get counts(): StoreCounts {
    return this.store.counts;
  }

  /** Starts listening on both ports. */
  async start(): Promise<void> {
    const handler: Handler = (incoming, response) => this.answerAdmin(incoming, response);
    this.adminListeningPort = await serveOn(this.adminServer, this.adminListeningPort, handler);
    await this.startStore();
  }

  /** Ends all connections and stops listening. */
  async close(): Promise<void> {
    await this.stopStore();
    await stopListening(this.adminServer);
    this.database.close();
  }

  /** Changes what is wrong with the store. */
  async setFaults(faults: StoreFaults): Promise<void> {
    if (faults.slowMs !== undefined) this.store.setSlow(faults.slowMs);
    if (faults.loseNextAnswer) this.store.loseNextResponse(faults.loseNextAnswer);
    if (faults.landLateWrites) this.store.applyDelayedWrites();
    if (faults.silenceConnections) this.sockets.forEach((socket) => this.silentSockets.add(socket));
    if (faults.compact) this.database.compact();
    if (faults.down === true) await this.stopStore();
    if (faults.down === false && !this.storeServer) await this.startStore();
  }

  private async startStore(): Promise<void> {
    const server = createServer();
    server.keepAliveTimeout = IDLE_TIMEOUT_MS;
    server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
    const handler: Handler = (incoming, response) => this.answerStore(incoming, response);
    this.storePort = await serveOn(server, this.storePort, handler);
    this.storeServer = server;
  }

  private async stopStore(): Promise<void> {
    const server = this.storeServer;
    this.storeServer = undefined;
    if (server) await stopListening(server);
  }

  private async answerAdmin(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    if (incoming.url === '/admin/faults') {
      await this.setFaults((await readJson(incoming)) as StoreFaults);
    }
    writeJson(response, 200, this.counts);
  }

  private async answerStore(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const isSilent = () => this.silentSockets.has(incoming.socket);
    if (isSilent()) return;
    const body = await readJson(incoming);
    if (incoming.url === '/v3/watch') {
      this.counts.watches += 1;
      streamWatch(this.database, body as EtcdWatchRequest, response, isSilent);
      return;
    }
    const route = this.routes[incoming.url ?? ''];
    if (!route) {
      writeJson(response, 404, { code: 12, message: `no such method: ${incoming.url}` });
      return;
    }
    const answer = await route(body as never);
    if (isSilent()) return;
    if (answer.isOk()) writeJson(response, 200, answer.value);
    else if (answer.error.code === ResultCode.storeOutcomeUnknown) incoming.socket.destroy();
    else writeJson(response, 404, { code: 5, message: answer.error.message });
  }
}

/** Starts a stand-in for the platform's store. */
export async function startStoreStandIn(options: StoreStandInOptions): Promise<StoreStandIn> {
  const standIn = new StoreStandIn(options);
  await standIn.start();
  return standIn;
}
