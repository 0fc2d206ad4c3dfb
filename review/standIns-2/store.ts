import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Time that the store takes for an answer, in milliseconds, as the site files state it. */
const ANSWER_MS = 4;
const MS_PER_S = 1000;
const FIRST_REVISION = 100;

interface Item {
  key: string;
  value: string;
  revision: number;
  created: number;
  lease: number;
}

type StoreEvent = Item | { key: string; revision: number; deleted: true };

interface Write {
  key: string;
  value: string;
  lease?: number;
}

interface Transaction {
  expect?: { key: string; revision: number }[];
  writes?: Write[];
  deletes?: string[];
}

interface Lease {
  ttlS: number;
  timer: NodeJS.Timeout;
}

async function readBody(incoming: IncomingMessage): Promise<object> {
  const pieces: Buffer[] = [];
  for await (const piece of incoming) pieces.push(piece as Buffer);
  const text = Buffer.concat(pieces).toString('utf8');
  return text === '' ? {} : (JSON.parse(text) as object);
}

function answer(response: ServerResponse, status: number, body: object): void {
  setTimeout(() => {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  }, ANSWER_MS);
}

/** Stand-in for the platform's metadata store: keys, leases, conditional writes and watches. */
export class PlatformStore {
  private readonly items = new Map<string, Item>();

  private readonly leases = new Map<number, Lease>();

  private readonly history: StoreEvent[] = [];

  /** Checks of the watches that wait. */
  private readonly waiting = new Set<() => void>();

  private revision = FIRST_REVISION;

  private lastLease = 0;

  private readonly servers: Server[] = [];

  /** Opens an address of the store for one machine; resolves with it. */
  async open(host: string): Promise<string> {
    const server = createServer();
    await new Promise<void>((resolve) => {
      server.listen(0, host, resolve);
    });
    server.on('request', (incoming: IncomingMessage, response: ServerResponse) => {
      this.serve(incoming, response).catch(() => response.destroy());
    });
    this.servers.push(server);
    return `${host}:${(server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.servers.forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
    this.leases.forEach(({ timer }) => clearTimeout(timer));
  }

  /** Writes a key as the operator does. */
  write(key: string, text: string): void {
    this.put({ key, value: Buffer.from(text, 'utf8').toString('base64') });
  }

  private put({ key, value, lease = 0 }: Write): void {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? this.revision;
    const item = { key, value, revision: this.revision, created, lease };
    this.items.set(key, item);
    this.publish(item);
  }

  private remove(key: string): void {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.publish({ key, revision: this.revision, deleted: true });
  }

  private publish(event: StoreEvent): void {
    this.history.push(event);
    this.waiting.forEach((check) => check());
  }

  private keepLease(lease: number, ttlS: number): void {
    clearTimeout(this.leases.get(lease)?.timer);
    const timer = setTimeout(() => this.endLease(lease), ttlS * MS_PER_S);
    this.leases.set(lease, { ttlS, timer });
  }

  private endLease(lease: number): void {
    clearTimeout(this.leases.get(lease)?.timer);
    this.leases.delete(lease);
    [...this.items.values()]
      .filter((item) => item.lease === lease)
      .forEach(({ key }) => this.remove(key));
  }

  private async serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const { pathname, searchParams } = new URL(incoming.url ?? '/', 'http://store');
    const body = await readBody(incoming);
    if (pathname === '/kv-key') this.answerKey(response, searchParams);
    else if (pathname === '/kv-range') this.answerRange(response, searchParams);
    else if (pathname === '/kv-watch') this.watch(response, searchParams);
    else if (pathname === '/kv-txn') this.transact(response, body);
    else if (pathname === '/kv-lease') this.grantLease(response, (body as Lease).ttlS);
    else if (pathname.startsWith('/kv-keep/')) {
      this.renewLease(response, Number(pathname.slice('/kv-keep/'.length)));
    } else answer(response, 404, {});
  }

  private answerKey(response: ServerResponse, parameters: URLSearchParams): void {
    const item = this.items.get(parameters.get('key') ?? '');
    answer(response, item ? 200 : 404, { ...item, asOf: this.revision });
  }

  private answerRange(response: ServerResponse, parameters: URLSearchParams): void {
    const prefix = parameters.get('pathPrefix') ?? '';
    const items = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix))
      .sort((one, other) => (one.key < other.key ? -1 : 1));
    answer(response, 200, { items, hasMore: false, asOf: this.revision });
  }

  private watch(response: ServerResponse, parameters: URLSearchParams): void {
    const prefix = parameters.get('pathPrefix') ?? '';
    const after = Number(parameters.get('after'));
    const eventsNow = (): StoreEvent[] =>
      this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    let stopWaiting = (): void => undefined;
    const finish = (): void => {
      stopWaiting();
      answer(response, 200, { events: eventsNow(), asOf: this.revision });
    };
    const check = (): void => {
      if (eventsNow().length > 0) finish();
    };
    const timer = setTimeout(finish, Number(parameters.get('waitMs')));
    stopWaiting = () => {
      clearTimeout(timer);
      this.waiting.delete(check);
    };
    this.waiting.add(check);
    response.on('close', stopWaiting);
    check();
  }

  private transact(response: ServerResponse, body: Transaction): void {
    const { expect = [], writes = [], deletes = [] } = body;
    const isExpected = expect.every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isExpected) {
      const items = expect.flatMap(({ key }) => this.items.get(key) ?? []);
      answer(response, 412, { items });
      return;
    }
    if (writes.some(({ lease = 0 }) => lease > 0 && !this.leases.has(lease))) {
      answer(response, 404, {});
      return;
    }
    writes.forEach((write) => this.put(write));
    deletes.forEach((key) => this.remove(key));
    answer(response, 200, { revision: this.revision });
  }

  private grantLease(response: ServerResponse, ttlS: number): void {
    this.lastLease += 1;
    this.keepLease(this.lastLease, ttlS);
    answer(response, 200, { lease: this.lastLease, ttlS });
  }

  private renewLease(response: ServerResponse, lease: number): void {
    const known = this.leases.get(lease);
    if (known) this.keepLease(lease, known.ttlS);
    answer(response, known ? 200 : 404, known ? { ttlS: known.ttlS } : {});
  }
}
