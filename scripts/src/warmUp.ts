import { mkdtempSync, writeFileSync } from 'node:fs';
import { createServer, request as httpRequest } from 'node:http';
import type { RequestListener } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

const ADDRESS = '127.0.0.1';
const SERVICE = 'warm-up';
const REQUESTS = 400;
const CONCURRENT_REQUESTS = 4;
const START_WAIT_MS = 300;

const routeOf = (name: string, kind: string) => ({
  resourceType: 'routes',
  metadata: { name },
  specification: {
    host: 'warm-up.example',
    pathPrefix: `/${name}/`,
    kind,
    timeoutS: 5,
    targetLatencyS: 1,
    priority: 1,
    service: SERVICE,
    maxAttempts: 2,
  },
});

const configuration = {
  version: 1,
  resources: [routeOf('read', 'idempotent'), routeOf('write', 'non_idempotent')],
};

function itemOf(key: string, value: unknown) {
  const encoded = Buffer.from(JSON.stringify(value)).toString('base64');
  return { key, value: encoded, revision: 2, created: 2, lease: 0 };
}

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

function listen(handler: RequestListener): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer(handler);
    server.listen(0, ADDRESS, () => resolve(portOf(server)));
  });
}

/** A store that holds the configuration and `records`, and accepts every write. */
function startStore(records: ReturnType<typeof itemOf>[]): Promise<number> {
  const bodies: Record<string, unknown> = {
    '/kv-lease': { lease: 1, ttlS: 10 },
    '/kv-keep/1': { ttlS: 10 },
    '/kv-txn': { revision: 3 },
  };
  return listen((request, response) => {
    const { pathname, searchParams } = new URL(request.url ?? '/', 'http://store');
    request.resume();
    if (pathname === '/kv-watch') return;
    const prefix = searchParams.get('pathPrefix') ?? '';
    const items = [itemOf('op/config', configuration), ...records].filter(({ key }) =>
      key.startsWith(prefix),
    );
    const body = bodies[pathname] ?? { items, hasMore: false, asOf: 2 };
    response.end(JSON.stringify(body));
  });
}

/** A target that answers every request. */
function startTarget(): Promise<number> {
  return listen((request, response) => {
    request.resume();
    request.on('end', () => {
      response.writeHead(200, {
        'request-id': request.headers['request-id'],
        'response-signature': SERVICE,
      });
      response.end(SERVICE);
    });
  });
}

async function freePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createTcpServer().listen(0, ADDRESS));
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.once('listening', resolve);
        }),
    ),
  );
  const ports = servers.map(portOf);
  servers.forEach((server) => server.close());
  return ports;
}

/** Sends a request and resolves when it has ended, whatever the response. */
function send(
  port: number,
  method: string,
  url: string,
  headers: Record<string, string>,
  body?: string,
): Promise<void> {
  return new Promise((resolve) => {
    const options = { host: ADDRESS, port, method, path: url, headers };
    const request = httpRequest(options, (response) => {
      response.resume();
      response.on('close', resolve);
    });
    request.on('error', () => resolve());
    request.end(body);
  });
}

/** The record of a second host, which is this daemon: requests for it pass between daemons. */
function neighbourRecord(callPort: number, peerPort: number) {
  return itemOf('shallotcroft/targets/neighbour', {
    targetId: 'neighbour',
    startedAt: 1,
    service: SERVICE,
    dataCentre: 'warm-up',
    slots: 100,
    state: 'ready',
    warmAt: 0,
    address: ADDRESS,
    callPort,
    peerPort,
    incarnation: 'unknown',
    version: 1,
  });
}

/** Settings of the daemon under load. */
interface DaemonSettings {
  /** Path of the settings file. */
  file: string;
  /** Ports of its listeners. */
  requests: number;
  readiness: number;
  heartbeats: number;
}

async function writeSettings(): Promise<DaemonSettings> {
  const ports = (await freePorts(6)) as [number, number, number, number, number, number];
  const [requests, readiness, heartbeats, callPort, peerPort, metricsPort] = ports;
  const store = await startStore([neighbourRecord(callPort, peerPort)]);
  const target = await startTarget();
  const settings = {
    host: SERVICE,
    dataCentre: SERVICE,
    address: ADDRESS,
    service: SERVICE,
    target: `${ADDRESS}:${target}`,
    listen: {
      requests: `${ADDRESS}:${requests}`,
      readiness: `${ADDRESS}:${readiness}`,
      heartbeats: `${ADDRESS}:${heartbeats}`,
      callPort,
      peerPort,
      metricsPort,
    },
    store: `${ADDRESS}:${store}`,
    stopTimeoutSeconds: 6,
    retry: { ratio: 0.2, spare: 10 },
    logLevel: 'info',
  };
  const file = path.join(mkdtempSync(path.join(os.tmpdir(), 'warm-up-')), 'settings.yaml');
  // JSON is YAML.
  writeFileSync(file, JSON.stringify(settings));
  return { file, requests, readiness, heartbeats };
}

/** Sends heartbeats and requests to the daemon. */
async function sendLoad({ requests, readiness, heartbeats }: DaemonSettings): Promise<void> {
  const heartbeat = {
    address: `${ADDRESS}:1`,
    born: 1,
    serviceInfo: { service: SERVICE, version: 'v1', zone: SERVICE, slots: 100 },
    status: { state: 'ready', sequence: 1, coldRemainingS: 0 },
  };
  const json = { 'content-type': 'application/json' };
  await send(heartbeats, 'PUT', '/instances/own', json, JSON.stringify(heartbeat));
  await send(readiness, 'GET', '/readiness', {});
  for (let sent = 0; sent < REQUESTS; sent += CONCURRENT_REQUESTS) {
    const batch = Array.from({ length: CONCURRENT_REQUESTS }, (_none, index) => {
      const headers = {
        host: 'warm-up.example',
        'request-id': `warm-up-${sent + index}`,
        'deadline-ms': '4000',
      };
      return index % 2 === 0
        ? send(requests, 'GET', '/read/1', headers)
        : send(requests, 'POST', '/write/1', headers, SERVICE);
    });
    await Promise.all(batch);
  }
}

/** A load that is ready to be sent to a daemon. */
export interface WarmUp {
  /** Path of the settings with which the daemon must be started. */
  file: string;
  /** Sends the load; resolves when all requests have ended. */
  load: () => Promise<void>;
}

/**
 * Prepares a short load for the build: a daemon serves requests between a store, a target and callers
 * in this process, so that the code compiled for them can be kept.
 */
export async function prepareWarmUp(): Promise<WarmUp> {
  const settings = await writeSettings();
  return {
    file: settings.file,
    load: async () => {
      await delay(START_WAIT_MS);
      await sendLoad(settings);
    },
  };
}
