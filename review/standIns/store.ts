import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

const CONFIGURATION_KEY = 'op/config';
const LEASE_CHECK_MS = 200;
const MS_PER_S = 1000;

interface Item {
  key: string;
  value: string;
  revision: number;
  created: number;
  lease: number;
}

type Change = Item | { key: string; revision: number; deleted: true };

interface Lease {
  ttlS: number;
  expiresAt: number;
}

interface Transaction {
  expect?: { key: string; revision: number }[];
  writes?: { key: string; value: string; lease?: number }[];
  deletes?: string[];
}

async function bodyOf(incoming: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
}

function send(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** Stand-in of the platform's metadata store: items, leases, watches and conditional changes. */
export class Store {
  private readonly items = new Map<string, Item>();

  private readonly leases = new Map<number, Lease>();

  private readonly history: Change[] = [];

  private readonly waiters = new Set<() => void>();

  private revision = 1;

  private lastLease = 0;

  private readonly server: Server;

  private leaseTimer: NodeJS.Timeout | undefined;

  constructor() {
    this.server = createServer((incoming, response) => {
      this.serve(incoming, response).catch(() => response.destroy());
    });
  }

  /** Address and port; known once the store listens. */
  get endpoint(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  async start(address: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, address, resolve);
    });
    this.leaseTimer = setInterval(() => this.expireLeases(), LEASE_CHECK_MS);
  }

  stop(): void {
    clearInterval(this.leaseTimer);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a configuration as the operator does; its return is the acknowledgement. */
  configure(configuration: unknown): void {
    const value = Buffer.from(JSON.stringify(configuration)).toString('base64');
    this.put(CONFIGURATION_KEY, value, 0);
  }

  private put(key: string, value: string, lease: number): void {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? this.revision;
    const item: Item = { key, value, revision: this.revision, created, lease };
    this.items.set(key, item);
    this.publish(item);
  }

  private remove(key: string): void {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.publish({ key, revision: this.revision, deleted: true });
  }

  private publish(change: Change): void {
    this.history.push(change);
    this.waiters.forEach((waiter) => waiter());
  }

  private endLease(lease: number): void {
    this.leases.delete(lease);
    [...this.items.values()]
      .filter((item) => item.lease === lease)
      .forEach(({ key }) => this.remove(key));
  }

  private expireLeases(): void {
    const now = Date.now();
    this.leases.forEach(({ expiresAt }, lease) => {
      if (expiresAt < now) this.endLease(lease);
    });
  }

  private async serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const { pathname, searchParams } = new URL(incoming.url ?? '/', 'http://store');
    const body = await bodyOf(incoming);
    if (pathname === '/kv-key') {
      const item = this.items.get(searchParams.get('key') ?? '');
      send(response, item ? 200 : 404, { ...item, asOf: this.revision });
    } else if (pathname === '/kv-range') this.list(searchParams, response);
    else if (pathname === '/kv-watch') this.watch(searchParams, response);
    else if (pathname === '/kv-txn') this.transact(body as Transaction, response);
    else if (pathname === '/kv-lease') this.grant((body as { ttlS: number }).ttlS, response);
    else if (pathname.startsWith('/kv-keep/')) {
      const lease = this.leases.get(Number(pathname.slice('/kv-keep/'.length)));
      if (lease) lease.expiresAt = Date.now() + lease.ttlS * MS_PER_S;
      send(response, lease ? 200 : 404, { ttlS: lease?.ttlS ?? 0 });
    } else if (pathname.startsWith('/kv-lease-end/')) {
      this.endLease(Number(pathname.slice('/kv-lease-end/'.length)));
      send(response, 200, {});
    } else send(response, 404, {});
  }

  private list(parameters: URLSearchParams, response: ServerResponse): void {
    const prefix = parameters.get('pathPrefix') ?? '';
    const after = parameters.get('after') ?? '';
    const items = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    send(response, 200, { items, hasMore: false, asOf: this.revision });
  }

  private watch(parameters: URLSearchParams, response: ServerResponse): void {
    const prefix = parameters.get('pathPrefix') ?? '';
    const after = Number(parameters.get('after'));
    const waiting: { timer?: NodeJS.Timeout } = {};
    const end = (waiter: () => void): void => {
      clearTimeout(waiting.timer);
      this.waiters.delete(waiter);
    };
    const respond = (isTimedOut = false): void => {
      const events = this.history.filter(
        ({ key, revision }) => revision > after && key.startsWith(prefix),
      );
      if (events.length === 0 && !isTimedOut) return;
      end(respond);
      send(response, 200, { events, asOf: this.revision });
    };
    this.waiters.add(respond);
    waiting.timer = setTimeout(() => respond(true), Number(parameters.get('waitMs')));
    response.on('close', () => end(respond));
    respond();
  }

  private transact(
    { expect = [], writes = [], deletes = [] }: Transaction,
    response: ServerResponse,
  ): void {
    const isExpected = expect.every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isExpected) {
      send(response, 412, { items: expect.flatMap(({ key }) => this.items.get(key) ?? []) });
      return;
    }
    if (writes.some(({ lease = 0 }) => lease > 0 && !this.leases.has(lease))) {
      send(response, 404, {});
      return;
    }
    writes.forEach(({ key, value, lease = 0 }) => this.put(key, value, lease));
    deletes.forEach((key) => this.remove(key));
    send(response, 200, { revision: this.revision });
  }

  private grant(ttlS: number, response: ServerResponse): void {
    this.lastLease += 1;
    this.leases.set(this.lastLease, { ttlS, expiresAt: Date.now() + ttlS * MS_PER_S });
    send(response, 200, { lease: this.lastLease, ttlS });
  }
}
