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

/** Faults to inject into the stand-in; an absent field leaves its fault unchanged. */
export interface StoreFaults {
  /** Refuses new connections and closes the open ones. */
  down?: boolean;
  /** Delay of each request, in milliseconds. */
  slowMs?: number;
  /** Drops the response to the next write; the value is the effect of that write. */
  loseNextAnswer?: LostWriteEffect;
  /** Applies the delayed writes whose responses were dropped. */
  landLateWrites?: boolean;
  /** Makes the open connections unresponsive until they are closed; new ones work. */
  silenceConnections?: boolean;
  /** Compacts the history, so that a watch cannot resume from an earlier revision. */
  compact?: boolean;
}

/** Options of `startStoreStandIn`; a port of 0, the default, selects a free one. */
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

function listenLoopback(server: Server, port: number, handler: Handler): Promise<number> {
  const application = polka({ server });
  application.use((incoming, response) => {
    handler(incoming, response).catch(() => incoming.socket.destroy());
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    application.listen(port, LOOPBACK, () => resolve((server.address() as AddressInfo).port));
  });
}

/**
 * A store on loopback with fault injection. It implements the part of the etcd v3 HTTP/JSON gateway
 * that `EtcdStore` uses.
 */
export class StoreStandIn {
  /** Contents of the store, for tests in the same process. */
  readonly database: MemoryDatabase;

  private readonly store: MemoryStore;

  private readonly routes: Record<string, GatewayRoute>;

  private readonly sockets = new Set<Socket>();

  /** Sockets made unresponsive by `silenceConnections`. */
  private readonly hungSockets = new WeakSet<Socket>();

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

  /** Port of the gateway. */
  get port(): number {
    return this.storePort;
  }

  /** Port of POST /admin/faults and /admin/counts; it stays open while the store is down. */
  get adminPort(): number {
    return this.adminListeningPort;
  }

  /** Number of requests to the store, by kind. */
  get counts(): StoreCounts {
    return this.store.counts;
  }

  /** Opens the admin port and the port of the gateway. */
  async start(): Promise<void> {
    const handler: Handler = (incoming, response) => this.handleAdminRequest(incoming, response);
    this.adminListeningPort = await listenLoopback(
      this.adminServer,
      this.adminListeningPort,
      handler,
    );
    await this.startStore();
  }

  /** Closes both ports, all connections and the database. */
  async close(): Promise<void> {
    await this.stopStore();
    await stopListening(this.adminServer);
    this.database.close();
  }

  /** Injects or clears faults. */
  async setFaults(faults: StoreFaults): Promise<void> {
    if (faults.slowMs !== undefined) this.store.setSlow(faults.slowMs);
    if (faults.loseNextAnswer) this.store.loseNextResponse(faults.loseNextAnswer);
    if (faults.landLateWrites) this.store.applyDelayedWrites();
    if (faults.silenceConnections) this.sockets.forEach((socket) => this.hungSockets.add(socket));
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
    const handler: Handler = (incoming, response) => this.handleStoreRequest(incoming, response);
    this.storePort = await listenLoopback(server, this.storePort, handler);
    this.storeServer = server;
  }

  private async stopStore(): Promise<void> {
    const server = this.storeServer;
    this.storeServer = undefined;
    if (server) await stopListening(server);
  }

  private async handleAdminRequest(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (incoming.url === '/admin/faults') {
      await this.setFaults((await readJson(incoming)) as StoreFaults);
    }
    writeJson(response, 200, this.counts);
  }

  private async handleStoreRequest(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const isUnresponsive = () => this.hungSockets.has(incoming.socket);
    if (isUnresponsive()) return;
    const body = await readJson(incoming);
    if (incoming.url === '/v3/watch') {
      this.counts.watches += 1;
      streamWatch(this.database, body as EtcdWatchRequest, response, isUnresponsive);
      return;
    }
    const route = this.routes[incoming.url ?? ''];
    if (!route) {
      writeJson(response, 404, { code: 12, message: `no such method: ${incoming.url}` });
      return;
    }
    const result = await route(body as never);
    if (isUnresponsive()) return;
    if (result.isOk()) writeJson(response, 200, result.value);
    else if (result.error.code === ResultCode.storeOutcomeUnknown) incoming.socket.destroy();
    else writeJson(response, 404, { code: 5, message: result.error.message });
  }
}

/** Starts a stand-in for the store. */
export async function startStoreStandIn(options: StoreStandInOptions): Promise<StoreStandIn> {
  const standIn = new StoreStandIn(options);
  await standIn.start();
  return standIn;
}
