import { Client } from 'undici';
import type { Clock, Timer } from '../runtime/clock.js';
import { decodeBase64, encodeBase64, prefixEnd } from './etcdMessages.js';
import type {
  EtcdEvent,
  EtcdStreamed,
  EtcdWatchRequest,
  EtcdWatchResponse,
} from './etcdMessages.js';
import type { RandomSource } from '../runtime/random.js';
import type { StoreEntry, Watch } from './store.js';

const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 10_000;

/** Entries of a prefix at one revision of the store. */
export interface Listing {
  revision: number;
  entries: StoreEntry[];
}

/** Options of `EtcdWatch`. */
export interface EtcdWatchOptions {
  endpoints: string[];
  prefix: string;
  clock: Clock;
  random: RandomSource;
  /** Time without a message after which a new connection is opened, in milliseconds. */
  idleTimeoutMs: number;
  /** Lists the present entries; undefined if the store does not respond. */
  list: () => Promise<Listing | undefined>;
  listener: (entry: StoreEntry) => void;
}

/** Why a connection of a watch ended. */
type WatchEnd = 'idle' | 'broken' | 'compacted';

function entryOf(event: EtcdEvent): StoreEntry {
  const key = decodeBase64(event.kv.key);
  if (event.type === 'DELETE') return { key, value: '', modRevision: 0 };
  return {
    key,
    value: decodeBase64(event.kv.value),
    modRevision: Number(event.kv.mod_revision),
  };
}

/** Calls `onLine` with each non-empty line of a stream; rejects if the stream breaks. */
async function readLines(
  stream: AsyncIterable<Buffer>,
  onLine: (line: string) => void,
): Promise<void> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of stream) {
    const lines = (rest + decoder.decode(chunk, { stream: true })).split('\n');
    rest = lines.pop() as string;
    lines.filter((line) => line !== '').forEach(onLine);
  }
}

/** Watches a prefix: lists its entries, follows changes, and reconnects when a connection ends. */
export class EtcdWatch implements Watch {
  private readonly closed = new AbortController();

  private readonly presentKeys = new Set<string>();

  /** First revision that was not yet received; 0 if a listing is required first. */
  private nextRevision = 0;

  private endpoint = 0;

  private consecutiveFailures = 0;

  constructor(private readonly options: EtcdWatchOptions) {}

  /** Runs until closed. */
  async run(): Promise<void> {
    while (!this.closed.signal.aborted) {
      // An error thrown by a listener ends the connection; its event is delivered again.
      const end = await this.listAndFollow().catch((): WatchEnd => 'broken');
      if (end === 'compacted') this.nextRevision = 0;
      if (end === 'broken') await this.backOff();
    }
  }

  close(): void {
    this.closed.abort();
  }

  private async listAndFollow(): Promise<WatchEnd> {
    if (this.nextRevision === 0 && !(await this.relist())) return 'broken';
    return this.follow();
  }

  /** Notifies the listener of all present entries and of those deleted since the last listing. */
  private async relist(): Promise<boolean> {
    const listing = await this.options.list();
    if (!listing || this.closed.signal.aborted) return false;
    const present = new Set(listing.entries.map((entry) => entry.key));
    const deletedKeys = [...this.presentKeys].filter((key) => !present.has(key));
    deletedKeys.forEach((key) => this.notify({ key, value: '', modRevision: 0 }));
    listing.entries.forEach((entry) => this.notify(entry));
    this.nextRevision = listing.revision + 1;
    return true;
  }

  /** Follows changes on a separate connection until it ends or becomes idle. */
  private async follow(): Promise<WatchEnd> {
    const { endpoints, clock, idleTimeoutMs } = this.options;
    const client = new Client(endpoints[this.endpoint % endpoints.length] as string, {
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    let end: WatchEnd = 'broken';
    let timer: Timer | undefined;
    const endWith = (reason: WatchEnd) => {
      end = reason;
      client.destroy().catch(() => undefined);
    };
    const restartTimer = (reason: WatchEnd) => {
      timer?.cancel();
      timer = clock.startTimer(idleTimeoutMs, () => endWith(reason));
    };
    const stop = () => endWith('broken');
    this.closed.signal.addEventListener('abort', stop);
    // A timeout before the first message is a failure; later, the store may just be idle.
    restartTimer('broken');
    try {
      const response = await client.request({
        path: '/v3/watch',
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(this.watchRequest()),
      });
      await readLines(response.body, (line) => {
        restartTimer('idle');
        const ended = this.receive(JSON.parse(line) as EtcdStreamed<EtcdWatchResponse>);
        if (ended) endWith(ended);
        else this.consecutiveFailures = 0;
      });
    } catch {
      // `end` holds the reason; `run` opens a new connection.
    }
    timer?.cancel();
    this.closed.signal.removeEventListener('abort', stop);
    client.destroy().catch(() => undefined);
    return end;
  }

  private watchRequest(): EtcdWatchRequest {
    return {
      create_request: {
        key: encodeBase64(this.options.prefix),
        range_end: prefixEnd(this.options.prefix),
        start_revision: String(this.nextRevision),
        progress_notify: true,
      },
    };
  }

  /** Processes one message; returns why the watch ended if the message ends it. */
  private receive(message: EtcdStreamed<EtcdWatchResponse>): WatchEnd | undefined {
    const { result } = message;
    if (!result) return 'broken';
    if (result.canceled) return Number(result.compact_revision ?? 0) > 0 ? 'compacted' : 'broken';
    (result.events ?? []).forEach((event) => {
      this.notify(entryOf(event));
      this.nextRevision = Math.max(this.nextRevision, Number(event.kv.mod_revision) + 1);
    });
    return undefined;
  }

  private notify(entry: StoreEntry): void {
    if (this.closed.signal.aborted) return;
    if (entry.modRevision === 0) this.presentKeys.delete(entry.key);
    else this.presentKeys.add(entry.key);
    this.options.listener(entry);
  }

  private async backOff(): Promise<void> {
    if (this.closed.signal.aborted) return;
    const { clock, random } = this.options;
    const maxDelayMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** this.consecutiveFailures);
    this.consecutiveFailures = Math.min(this.consecutiveFailures + 1, 10);
    this.endpoint += 1;
    await clock.sleep(maxDelayMs * random.next(), this.closed.signal).catch(() => undefined);
  }
}
