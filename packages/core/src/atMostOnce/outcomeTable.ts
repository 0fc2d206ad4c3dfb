import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { CallResponse } from '../calls/call.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { timeOfKey } from '../calls/idempotencyKey.js';
import { ResultCode } from '../runtime/resultCode.js';

/** The result of an executed call. */
export type CallOutcome = Result<CallResponse, Failure>;

/** Limits of an outcome table. */
export interface OutcomeTableLimits {
  /**
   * Largest number of keys; a full table rejects new keys, since a forgotten key could run twice.
   */
  maxKeys: number;
  /**
   * Largest total of response bodies in bytes; above it the oldest are dropped, their keys stay.
   */
  maxBytes: number;
}

/** Default limits per shard, for production. */
export const defaultOutcomeTableLimits: OutcomeTableLimits = {
  maxKeys: 20_000,
  maxBytes: 8 * 1024 * 1024,
};

/** A key with its outcome, as sent to the next home; the body is base64. */
export interface OutcomeRow {
  key: string;
  answer?: { status: number; headers: Record<string, string>; body: string } | undefined;
  failure?: Failure | undefined;
}

/** Larger bodies do not fit into a control message. */
const MAX_ROW_BODY_BYTES = 1024 * 1024;

interface Entry {
  mintedAt: number;
  running: Promise<CallOutcome> | undefined;
  outcome: CallOutcome | undefined;
  bodyBytes: number;
}

function sizeOf(outcome: CallOutcome): number {
  return outcome.isOk() ? outcome.value.body.length : 0;
}

function createNotKeptOutcome(): CallOutcome {
  const message =
    'the call has run, but its response is no longer kept; check its effect at the target';
  return Err(createFailure(ResultCode.unknownKeyMayHaveRun, message));
}

function rowOf(key: string, outcome: CallOutcome): OutcomeRow {
  if (outcome.isErr()) return { key, failure: outcome.error };
  const { status, headers, body } = outcome.value;
  return { key, answer: { status, headers, body: body.toString('base64') } };
}

function outcomeOf(row: OutcomeRow): CallOutcome {
  if (!row.answer) return row.failure ? Err(row.failure) : createNotKeptOutcome();
  return Ok({ ...row.answer, body: Buffer.from(row.answer.body, 'base64') });
}

/** The keys of one shard that began within the retention time, with their outcomes. */
export class OutcomeTable {
  private readonly entries = new Map<string, Entry>();

  private bytes = 0;

  /** Keys minted before this calendar time are rejected; the value never decreases. */
  minMintedAt = 0;

  constructor(private readonly limits: OutcomeTableLimits = defaultOutcomeTableLimits) {}

  /** The outcome of a key, or its promise while the call runs; undefined when it has not begun. */
  find(key: string): Promise<CallOutcome> | CallOutcome | undefined {
    const entry = this.entries.get(key);
    return entry?.outcome ?? entry?.running;
  }

  /** True when no further key can be kept. */
  isFull(): boolean {
    return this.entries.size >= this.limits.maxKeys;
  }

  /** Number of keys. */
  get size(): number {
    return this.entries.size;
  }

  /** Outcomes of the calls that are still running. */
  runningCalls(): Promise<CallOutcome>[] {
    const all = [...this.entries.values()].map(({ running }) => running);
    return all.filter((promise) => promise !== undefined);
  }

  /** Records that a key has begun. */
  begin(key: string, running: Promise<CallOutcome>): void {
    this.entries.set(key, { mintedAt: timeOfKey(key), running, outcome: undefined, bodyBytes: 0 });
  }

  /** Stores the outcome of a key that has begun. */
  finish(key: string, outcome: CallOutcome): void {
    const entry = this.entries.get(key);
    if (!entry) return;
    entry.running = undefined;
    entry.outcome = outcome;
    entry.bodyBytes = sizeOf(outcome);
    this.bytes += entry.bodyBytes;
    this.dropOldResponses();
  }

  /** Removes a key that is proven not to have run. */
  forget(key: string): void {
    this.entries.delete(key);
  }

  /** Raises `minMintedAt`, and removes finished keys minted before it. */
  forgetBefore(minMintedAt: number): void {
    this.minMintedAt = Math.max(this.minMintedAt, minMintedAt);
    for (const [key, entry] of this.entries) {
      if (entry.mintedAt >= this.minMintedAt || entry.running) break;
      this.bytes -= entry.bodyBytes;
      this.entries.delete(key);
    }
  }

  /**
   * All keys, for a handover; running calls and oversized responses become `unknownKeyMayHaveRun`.
   */
  rows(): OutcomeRow[] {
    return [...this.entries].map(([key, { outcome, bodyBytes: bytes }]) => {
      const isHandedOver = outcome && bytes <= MAX_ROW_BODY_BYTES;
      return rowOf(key, isHandedOver ? outcome : createNotKeptOutcome());
    });
  }

  /** Adds rows received from the previous home. */
  load(rows: OutcomeRow[]): void {
    rows.forEach((row) => {
      const outcome = outcomeOf(row);
      this.begin(row.key, Promise.resolve(outcome));
      this.finish(row.key, outcome);
    });
  }

  private dropOldResponses(): void {
    for (const entry of this.entries.values()) {
      if (this.bytes <= this.limits.maxBytes) return;
      if (entry.bodyBytes === 0) continue;
      this.bytes -= entry.bodyBytes;
      entry.bodyBytes = 0;
      entry.outcome = createNotKeptOutcome();
    }
  }
}
