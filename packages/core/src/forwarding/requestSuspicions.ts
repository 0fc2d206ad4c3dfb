import { createHash } from 'node:crypto';
import type { Clock } from '../runtime/clock.js';
import type { HopRequest } from './hopMessages.js';

/*
 * Load that this answers: a few requests end every target that runs them, and are sent again by
 * their callers, while the requests that ran beside them have done nothing wrong.
 */

/** Time for which a request stays suspected after its last evidence, in milliseconds. */
const SUSPECTED_MS = 30_000;
/** Time for which a request is barred at first; four times as long each further time, in milliseconds. */
const FIRST_BAR_MS = 30_000;
const BAR_GROWTH = 4;
const MAX_CONVICTIONS = 6;
/** Targets that ended under a request after which it is barred even if it never ran alone. */
const MAX_ENDED_RUNS = 3;
/** Largest number of requests that are remembered. */
const MAX_SUSPECTED = 2000;
const DIGEST_LENGTH = 22;

/** What is thought of a request: a suspected one runs alone, a barred one is rejected. */
export type Standing = 'trusted' | 'suspected' | 'barred';

/** Evidence against requests with the same digest, as daemons tell it each other. */
export interface SuspicionEvidence {
  digest: string;
  /** Runs of targets that ended under such a request. */
  runs: string[];
  /** Number of times that a target ended while such a request was the only suspect. */
  convictions: number;
}

/** A request whose connection was lost when its target ended. */
export interface LostRequest {
  digest: string;
  /** True if it ran as the only suspect. */
  wasAlone: boolean;
}

interface Suspicion {
  runs: Set<string>;
  convictions: number;
  suspectedUntil: number;
  barredUntil: number;
}

/** Digest of what makes a request: its service, method, host, path and query, and body. */
export function digestOf({ service, method, host, url, body }: HopRequest): string {
  const hash = createHash('sha256');
  hash.update(JSON.stringify([service, method, host, url])).update(body);
  return hash.digest('base64url').slice(0, DIGEST_LENGTH);
}

/** Requests under which targets have ended. */
export class RequestSuspicions {
  private readonly suspicions = new Map<string, Suspicion>();

  constructor(private readonly clock: Clock) {}

  /** True if no request is suspected. */
  get isEmpty(): boolean {
    return this.suspicions.size === 0;
  }

  /** What is thought of requests with a digest. */
  standingOf(digest: string): Standing {
    const suspicion = this.suspicions.get(digest);
    if (!suspicion) return 'trusted';
    const now = this.clock.now();
    if (now < suspicion.barredUntil) return 'barred';
    if (now < suspicion.suspectedUntil) return 'suspected';
    this.suspicions.delete(digest);
    return 'trusted';
  }

  /** Records the end of a target's run; returns all evidence against the requests lost with it. */
  recordEnd(run: string, lost: LostRequest[]): SuspicionEvidence[] {
    return lost.map(({ digest, wasAlone }) => {
      const known = this.suspicions.get(digest);
      const convictions = (known?.convictions ?? 0) + (wasAlone ? 1 : 0);
      return this.add({ digest, runs: [run], convictions });
    });
  }

  /** Takes over evidence of another daemon. */
  merge(evidence: SuspicionEvidence[]): void {
    evidence.forEach((one) => this.add(one));
  }

  /** Records that a suspected request ran alone and its target lives on. */
  recordSuccess(digest: string): void {
    if (this.standingOf(digest) === 'suspected') this.suspicions.delete(digest);
  }

  /** Forgets what has expired; without suspicions, no request needs a digest. */
  sweep(): void {
    [...this.suspicions.keys()].forEach((digest) => this.standingOf(digest));
  }

  /** Evidence against the requests that are barred. */
  barred(): SuspicionEvidence[] {
    return [...this.suspicions.keys()]
      .filter((digest) => this.standingOf(digest) === 'barred')
      .map((digest) => this.evidenceOf(digest));
  }

  /** All evidence against requests with a digest. */
  evidenceOf(digest: string): SuspicionEvidence {
    const { runs = [], convictions = 0 } = this.suspicions.get(digest) ?? {};
    return { digest, runs: [...runs], convictions };
  }

  private add({ digest, runs, convictions }: SuspicionEvidence): SuspicionEvidence {
    const now = this.clock.now();
    const known = this.suspicions.get(digest);
    const suspicion = known ?? this.open();
    const runsBefore = suspicion.runs.size;
    runs.slice(0, MAX_ENDED_RUNS).forEach((run) => suspicion.runs.add(run));
    const isNew = suspicion.runs.size > runsBefore;
    const isConvicted = convictions > suspicion.convictions;
    suspicion.convictions = Math.min(MAX_CONVICTIONS, Math.max(convictions, suspicion.convictions));
    if (isNew) suspicion.suspectedUntil = now + SUSPECTED_MS;
    if (isConvicted || (isNew && suspicion.runs.size >= MAX_ENDED_RUNS)) {
      const growth = BAR_GROWTH ** Math.max(0, suspicion.convictions - 1);
      suspicion.barredUntil = now + FIRST_BAR_MS * growth;
      // After that time it runs alone once more before it is trusted.
      suspicion.suspectedUntil = suspicion.barredUntil + SUSPECTED_MS;
    }
    if (!known) this.makeRoom();
    this.suspicions.set(digest, suspicion);
    return this.evidenceOf(digest);
  }

  private open(): Suspicion {
    return { runs: new Set(), convictions: 0, suspectedUntil: this.clock.now(), barredUntil: 0 };
  }

  /** Forgets the oldest suspicion when there are too many, one of a barred request last. */
  private makeRoom(): void {
    if (this.suspicions.size < MAX_SUSPECTED) return;
    const now = this.clock.now();
    for (const [digest, { barredUntil }] of this.suspicions) {
      if (barredUntil <= now) {
        this.suspicions.delete(digest);
        return;
      }
    }
    this.suspicions.delete(this.suspicions.keys().next().value ?? '');
  }
}
