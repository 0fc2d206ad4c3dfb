import type { MemberUpdate } from './memberUpdate.js';
import { BUCKET_COUNT, bucketOf } from './memberTable.js';
import type { VersionEntry } from './memberTable.js';
import { MembershipMethod, peerAddressOf } from './membershipContext.js';
import type { MembershipContext } from './membershipContext.js';
import type { PeerAddress } from '../peers/peer.js';

/** Timeout of a comparison, a sync or a page of a table, in milliseconds. */
const TABLE_RESPONSE_TIMEOUT_MS = 3000;

/** Maximum number of buckets reconciled per comparison. */
const MAX_BUCKETS_PER_COMPARISON = 4;

/** Number of records at which a page of a full table transfer ends, at the end of a bucket. */
const MAX_RECORDS_PER_PAGE = 500;

/** Hashes of all buckets of a table: 32-bit numbers in base64. */
interface CompareRequest {
  hashes: string;
}

interface CompareResponse {
  /** Buckets that differ, at most `MAX_BUCKETS_PER_COMPARISON`. */
  buckets: number[];
  entries: VersionEntry[];
}

interface SyncRequest {
  news: MemberUpdate[];
  /** Incarnations whose records are requested. */
  wanted: string[];
}

interface SyncResponse {
  news: MemberUpdate[];
}

interface PullRequest {
  firstBucket: number;
}

interface PullResponse {
  news: MemberUpdate[];
  /** First bucket of the next page; undefined on the last page. */
  nextBucket?: number;
}

/** Reconciles the member tables of two daemons by sending only the records that differ. */
export interface AntiEntropy {
  /** Reconciles a few of the buckets that differ from the table of the daemon at `peer`. */
  compare(peer: PeerAddress): Promise<void>;
  /** Reads the full table of the daemon at `peer`, page by page; false if it was not completed. */
  pull(peer: PeerAddress): Promise<boolean>;
}

function encodeHashes(hashes: Uint32Array): string {
  return Buffer.from(hashes.buffer, hashes.byteOffset, hashes.byteLength).toString('base64');
}

function decodeHashes(text: string): Uint32Array {
  const bytes = Uint8Array.from(Buffer.from(text, 'base64'));
  return new Uint32Array(bytes.buffer, 0, Math.floor(bytes.byteLength / 4));
}

/** Creates the anti-entropy protocol and registers its methods. */
export function createAntiEntropy(context: MembershipContext): AntiEntropy {
  const { clock, peers, methods, table } = context;

  function updatesOf(incarnations: string[]): MemberUpdate[] {
    const found = incarnations.map((incarnation) => table.updateOf(incarnation, clock.now()));
    return found.filter((update) => update !== undefined);
  }

  function findDifferingBuckets(hashes: Uint32Array): number[] {
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

  function createPage(firstBucket: number): PullResponse {
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
    if (bucket < BUCKET_COUNT) return { news: updatesOf(page), nextBucket: bucket };
    // A joining daemon needs the tombstones, or an outdated alive update could add a departed member again.
    const gone = table.goneMembers().map((tombstone) => tombstone.incarnation);
    return { news: updatesOf([...page, ...gone]) };
  }

  methods.register(MembershipMethod.compare, async (params): Promise<CompareResponse> => {
    const buckets = findDifferingBuckets(decodeHashes((params as CompareRequest).hashes));
    return { buckets, entries: table.versionsIn(new Set(buckets)) };
  });

  methods.register(MembershipMethod.sync, async (params): Promise<SyncResponse> => {
    const { news, wanted } = params as SyncRequest;
    const newer = context.receive(news);
    return { news: [...updatesOf(wanted), ...newer] };
  });

  methods.register(MembershipMethod.pull, async (params): Promise<PullResponse> =>
    createPage((params as PullRequest).firstBucket),
  );

  /** Records to send and to request, given the versions that the peer holds. */
  function planSync({ buckets, entries }: CompareResponse): SyncRequest {
    const remoteVersions = new Map(
      entries.map(({ incarnation, version }) => [incarnation, version]),
    );
    const wanted: string[] = [];
    const newer: string[] = [];
    remoteVersions.forEach((version, incarnation) => {
      const tombstone = table.tombstoneOf(incarnation);
      const localVersion = tombstone?.version ?? table.liveOf(incarnation)?.version ?? -1;
      if (localVersion < version) wanted.push(incarnation);
      if (tombstone ? localVersion >= version : localVersion > version) newer.push(incarnation);
    });
    table.versionsIn(new Set(buckets)).forEach(({ incarnation }) => {
      if (!remoteVersions.has(incarnation)) newer.push(incarnation);
    });
    return { news: updatesOf(newer), wanted };
  }

  async function pullPage(
    peer: PeerAddress,
    firstBucket: number,
  ): Promise<PullResponse | undefined> {
    const request: PullRequest = { firstBucket };
    const page = await peers.call<PullResponse>(
      peer,
      MembershipMethod.pull,
      request,
      TABLE_RESPONSE_TIMEOUT_MS,
    );
    return page.isOk() ? page.value : undefined;
  }

  async function pullPageFromAny(
    fallback: PeerAddress,
    firstBucket: number,
  ): Promise<PullResponse | undefined> {
    const [member] = context.randomMembers(1);
    const page = member && (await pullPage(peerAddressOf(member), firstBucket));
    return page ?? pullPage(fallback, firstBucket);
  }

  return {
    compare: async (peer) => {
      const request: CompareRequest = { hashes: encodeHashes(table.bucketHashes()) };
      const compared = await peers.call<CompareResponse>(
        peer,
        MembershipMethod.compare,
        request,
        TABLE_RESPONSE_TIMEOUT_MS,
      );
      if (!compared.isOk() || context.stopped.aborted) return;
      const plan = planSync(compared.value);
      if (plan.news.length === 0 && plan.wanted.length === 0) return;
      const synced = await peers.call<SyncResponse>(
        peer,
        MembershipMethod.sync,
        plan,
        TABLE_RESPONSE_TIMEOUT_MS,
      );
      if (synced.isOk() && !context.stopped.aborted) context.receive(synced.value.news);
    },

    pull: async (peer) => {
      let page = await pullPage(peer, 0);
      while (page && !context.stopped.aborted) {
        context.receiveWithoutGossip(page.news);
        if (page.nextBucket === undefined) return true;
        // Reads later pages from other members: otherwise the few bootstrap daemons would serve
        // every start.
        page = await pullPageFromAny(peer, page.nextBucket);
      }
      return false;
    },
  };
}
