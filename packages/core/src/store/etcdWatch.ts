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

const FIRST_BACKOFF_MS = 100;
const LONGEST_BACKOFF_MS = 10_000;

/** Entries of a prefix as they were at one revision of the store. */
export interface Listing {
  revision: number;
  entries: StoreEntry[];
}

/** What a watch needs. */
export interface EtcdWatchOptions {
  endpoints: string[];
  prefix: string;
  clock: Clock;
  random: RandomSource;
  /** Longest time without a message before a new connection is opened, in milliseconds. */
  silenceMs: number;
  /** The entries that are present, or undefined when the store does not answer. */
  list: () => Promise<Listing | undefined>;
  listener: (entry: StoreEntry) => void;
}

/** How one connection of a watch ended. */
type WatchEnd = 'silent' | 'broken' | 'compacted';

function entryOf(event: EtcdEvent): StoreEntry {
  const key = decodeBase64(event.kv.key);
  if (event.type === 'DELETE') return { key, value: '', modRevision: 0 };
  return {
    key,
    value: decodeBase64(event.kv.value),
    modRevision: Number(event.kv.mod_revision),
  };
}

/** Calls `onLine` with each line of a stream; rejects when the stream breaks. */
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

/** One watch of a prefix: a task that lists, follows, and opens a new connection when needed. */
export class EtcdWatch implements Watch {
  private readonly closed = new AbortController();

  private readonly known = new Set<string>();

  /** Revision to go on from; 0 before the first listing. */
  private nextRevision = 0;

  private endpoint = 0;

  private failures = 0;

  constructor(private readonly options: EtcdWatchOptions) {}

  /** Runs until closed. */
  async run(): Promise<void> {
    while (!this.closed.signal.aborted) {
      // A listener that throws ends the connection; what it did not take is told again.
      const end = await this.followOnce().catch((): WatchEnd => 'broken');
      if (end === 'compacted') this.nextRevision = 0;
      if (end === 'broken') await this.backOff();
    }
  }

  close(): void {
    this.closed.abort();
  }

  private async followOnce(): Promise<WatchEnd> {
    if (this.nextRevision === 0 && !(await this.relist())) return 'broken';
    return this.follow();
  }

  /** Tells everything that is present and everything that has gone since. */
  private async relist(): Promise<boolean> {
    const listing = await this.options.list();
    if (!listing || this.closed.signal.aborted) return false;
    const present = new Set(listing.entries.map((entry) => entry.key));
    const gone = [...this.known].filter((key) => !present.has(key));
    gone.forEach((key) => this.tell({ key, value: '', modRevision: 0 }));
    listing.entries.forEach((entry) => this.tell(entry));
    this.nextRevision = listing.revision + 1;
    return true;
  }

  /** Follows changes on a connection of its own until it ends or falls silent. */
  private async follow(): Promise<WatchEnd> {
    const { endpoints, clock, silenceMs } = this.options;
    const client = new Client(endpoints[this.endpoint % endpoints.length] as string, {
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    let end: WatchEnd = 'broken';
    let timer: Timer | undefined;
    const finish = (reason: WatchEnd) => {
      end = reason;
      client.destroy().catch(() => undefined);
    };
    const listenOn = (reason: WatchEnd) => {
      timer?.cancel();
      timer = clock.startTimer(silenceMs, () => finish(reason));
    };
    const stop = () => finish('broken');
    this.closed.signal.addEventListener('abort', stop);
    // Silence before the first message is a failure; afterwards it may be a quiet store.
    listenOn('broken');
    try {
      const answer = await client.request({
        path: '/v3/watch',
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(this.watchRequest()),
      });
      await readLines(answer.body, (line) => {
        listenOn('silent');
        const ended = this.receive(JSON.parse(line) as EtcdStreamed<EtcdWatchResponse>);
        if (ended) finish(ended);
        else this.failures = 0;
      });
    } catch {
      // The way it ended is in `end`; a broken connection is opened again.
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

  /** Takes one message; returns how the watch ended, if it did. */
  private receive(message: EtcdStreamed<EtcdWatchResponse>): WatchEnd | undefined {
    const { result } = message;
    if (!result) return 'broken';
    if (result.canceled) return Number(result.compact_revision ?? 0) > 0 ? 'compacted' : 'broken';
    (result.events ?? []).forEach((event) => {
      this.tell(entryOf(event));
      this.nextRevision = Math.max(this.nextRevision, Number(event.kv.mod_revision) + 1);
    });
    return undefined;
  }

  private tell(entry: StoreEntry): void {
    if (this.closed.signal.aborted) return;
    if (entry.modRevision === 0) this.known.delete(entry.key);
    else this.known.add(entry.key);
    this.options.listener(entry);
  }

  private async backOff(): Promise<void> {
    if (this.closed.signal.aborted) return;
    const { clock, random } = this.options;
    const longest = Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** this.failures);
    this.failures = Math.min(this.failures + 1, 10);
    this.endpoint += 1;
    await clock.sleep(longest * random.next(), this.closed.signal).catch(() => undefined);
  }
}
