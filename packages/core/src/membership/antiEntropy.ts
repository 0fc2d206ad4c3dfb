import type { MemberUpdate } from './memberUpdate.js';
import { BUCKET_COUNT, bucketOf } from './memberTable.js';
import type { VersionEntry } from './memberTable.js';
import { MembershipMethod, peerAddressOf } from './membershipContext.js';
import type { MembershipContext } from './membershipContext.js';
import type { PeerAddress } from '../peers/peer.js';

/** How long an answer with a part of a table may take, in milliseconds. */
const TABLE_TIMEOUT_MS = 3000;

/** Most buckets that are mended in one comparison. */
const MAX_BUCKETS_PER_COMPARISON = 4;

/** Most records in one page of a whole table. */
const MAX_RECORDS_PER_PAGE = 500;

/** Hashes of all buckets of a table, as base64 of 32-bit numbers. */
interface CompareRequest {
  hashes: string;
}

interface CompareAnswer {
  /** Buckets that differ, as many as one comparison mends. */
  buckets: number[];
  entries: VersionEntry[];
}

interface SyncRequest {
  news: MemberUpdate[];
  /** Incarnations whose record is asked for. */
  wanted: string[];
}

interface SyncAnswer {
  news: MemberUpdate[];
}

interface PullRequest {
  firstBucket: number;
}

interface PullAnswer {
  news: MemberUpdate[];
  /** Bucket to go on with; undefined at the end of the table. */
  nextBucket?: number;
}

/** Makes two tables equal by sending only what differs. */
export interface AntiEntropy {
  /** Mends up to a few buckets that differ between this table and that of the daemon at `peer`. */
  compare(peer: PeerAddress): Promise<void>;
  /** Takes over the whole table of the daemon at `peer`, page by page; false when it was cut short. */
  pull(peer: PeerAddress): Promise<boolean>;
}

function encodeHashes(hashes: Uint32Array): string {
  return Buffer.from(hashes.buffer, hashes.byteOffset, hashes.byteLength).toString('base64');
}

function decodeHashes(text: string): Uint32Array {
  const bytes = Uint8Array.from(Buffer.from(text, 'base64'));
  return new Uint32Array(bytes.buffer, 0, Math.floor(bytes.byteLength / 4));
}

/** Makes anti-entropy and registers its methods. */
export function createAntiEntropy(context: MembershipContext): AntiEntropy {
  const { clock, peers, methods, table } = context;

  function updatesOfAll(incarnations: string[]): MemberUpdate[] {
    const found = incarnations.map((incarnation) => table.updateOf(incarnation, clock.now()));
    return found.filter((update) => update !== undefined);
  }

  function differingBuckets(hashes: Uint32Array): number[] {
    const own = table.bucketHashes();
    const differing: number[] = [];
    const start = Math.floor(context.random.next() * BUCKET_COUNT);
    for (let step = 0; step < BUCKET_COUNT; step++) {
      const bucket = (start + step) % BUCKET_COUNT;
      if (own[bucket] !== hashes[bucket]) differing.push(bucket);
      if (differing.length === MAX_BUCKETS_PER_COMPARISON) break;
    }
    return differing;
  }

  function pageFrom(firstBucket: number): PullAnswer {
    const incarnations: string[][] = Array.from({ length: BUCKET_COUNT }, () => []);
    table.liveMembers().forEach(({ incarnation }) => {
      incarnations[bucketOf(incarnation)]?.push(incarnation);
    });
    const page: string[] = [];
    let bucket = firstBucket;
    while (bucket < BUCKET_COUNT && page.length < MAX_RECORDS_PER_PAGE) {
      page.push(...(incarnations[bucket] ?? []));
      bucket += 1;
    }
    if (bucket < BUCKET_COUNT) return { news: updatesOfAll(page), nextBucket: bucket };
    // A newcomer has to know who is dead, or old news could tell it otherwise.
    const gone = table.goneMembers().map((tombstone) => tombstone.incarnation);
    return { news: updatesOfAll([...page, ...gone]) };
  }

  methods.register(MembershipMethod.compare, async (params): Promise<CompareAnswer> => {
    const buckets = differingBuckets(decodeHashes((params as CompareRequest).hashes));
    return { buckets, entries: table.versionsIn(new Set(buckets)) };
  });

  methods.register(MembershipMethod.sync, async (params): Promise<SyncAnswer> => {
    const { news, wanted } = params as SyncRequest;
    const better = context.receive(news);
    return { news: [...updatesOfAll(wanted), ...better] };
  });

  methods.register(MembershipMethod.pull, async (params): Promise<PullAnswer> =>
    pageFrom((params as PullRequest).firstBucket),
  );

  /** What to send and to ask for, given the versions that the other end holds. */
  function planSync({ buckets, entries }: CompareAnswer): SyncRequest {
    const theirs = new Map(entries.map(({ incarnation, version }) => [incarnation, version]));
    const wanted: string[] = [];
    const better: string[] = [];
    theirs.forEach((version, incarnation) => {
      const tombstone = table.tombstoneOf(incarnation);
      const own = tombstone?.version ?? table.liveOf(incarnation)?.version ?? -1;
      if (own < version) wanted.push(incarnation);
      if (tombstone ? own >= version : own > version) better.push(incarnation);
    });
    table.versionsIn(new Set(buckets)).forEach(({ incarnation }) => {
      if (!theirs.has(incarnation)) better.push(incarnation);
    });
    return { news: updatesOfAll(better), wanted };
  }

  async function pullPage(peer: PeerAddress, firstBucket: number): Promise<PullAnswer | undefined> {
    const request: PullRequest = { firstBucket };
    const page = await peers.call<PullAnswer>(
      peer,
      MembershipMethod.pull,
      request,
      TABLE_TIMEOUT_MS,
    );
    return page.isOk() ? page.value : undefined;
  }

  async function pullPageFromAny(
    known: PeerAddress,
    firstBucket: number,
  ): Promise<PullAnswer | undefined> {
    const [other] = context.others(1);
    const page = other && (await pullPage(peerAddressOf(other), firstBucket));
    return page ?? pullPage(known, firstBucket);
  }

  return {
    compare: async (peer) => {
      const request: CompareRequest = { hashes: encodeHashes(table.bucketHashes()) };
      const compared = await peers.call<CompareAnswer>(
        peer,
        MembershipMethod.compare,
        request,
        TABLE_TIMEOUT_MS,
      );
      if (!compared.isOk() || context.stopped.aborted) return;
      const plan = planSync(compared.value);
      if (plan.news.length === 0 && plan.wanted.length === 0) return;
      const synced = await peers.call<SyncAnswer>(
        peer,
        MembershipMethod.sync,
        plan,
        TABLE_TIMEOUT_MS,
      );
      if (synced.isOk() && !context.stopped.aborted) context.receive(synced.value.news);
    },

    pull: async (peer) => {
      let page = await pullPage(peer, 0);
      while (page && !context.stopped.aborted) {
        context.fill(page.news);
        if (page.nextBucket === undefined) return true;
        // The first page names others; they carry the rest, or few would carry every start.
        page = await pullPageFromAny(peer, page.nextBucket);
      }
      return false;
    },
  };
}
