import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { CallResponse } from '../calls/call.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { timeOfKey } from '../calls/idempotencyKey.js';
import { ResultCode } from '../runtime/resultCode.js';

/** What a call ended with. */
export type CallOutcome = Result<CallResponse, Failure>;

/** Bounds of a table. */
export interface OutcomeTableLimits {
  /** Keys kept; beyond it new keys are refused, since forgetting one could run it twice. */
  maxKeys: number;
  /** Bytes of answers kept; beyond it the oldest answers go, their keys stay. */
  maxBytes: number;
}

/** Limits for production, for one shard. */
export const defaultOutcomeTableLimits: OutcomeTableLimits = {
  maxKeys: 20_000,
  maxBytes: 8 * 1024 * 1024,
};

/** A finished key as it is handed to another home; the body is base64. */
export interface TableRow {
  key: string;
  answer?: { status: number; headers: Record<string, string>; body: string } | undefined;
  failure?: Failure | undefined;
}

/** A larger answer would not fit into a control message. */
const MAX_HANDED_OVER_BYTES = 1024 * 1024;

interface Entry {
  time: number;
  running: Promise<CallOutcome> | undefined;
  outcome: CallOutcome | undefined;
  bytes: number;
}

function sizeOf(outcome: CallOutcome): number {
  return outcome.isOk() ? outcome.value.body.length : 0;
}

function dropped(): CallOutcome {
  const message = 'the call has run, but its answer is no longer kept; ask the target what it did';
  return Err(createFailure(ResultCode.unknownKeyMayHaveRun, message));
}

function rowOf(key: string, outcome: CallOutcome): TableRow {
  if (outcome.isErr()) return { key, failure: outcome.error };
  const { status, headers, body } = outcome.value;
  return { key, answer: { status, headers, body: body.toString('base64') } };
}

function outcomeOf(row: TableRow): CallOutcome {
  if (!row.answer) return row.failure ? Err(row.failure) : dropped();
  return Ok({ ...row.answer, body: Buffer.from(row.answer.body, 'base64') });
}

/** The keys of one shard that were begun within the retention window, with their outcomes. */
export class OutcomeTable {
  private readonly entries = new Map<string, Entry>();

  private bytes = 0;

  /** Keys minted before this calendar time are refused; it never goes back. */
  floor = 0;

  constructor(private readonly limits: OutcomeTableLimits = defaultOutcomeTableLimits) {}

  /** The outcome of a key, present or to come; undefined when it was not begun. */
  find(key: string): Promise<CallOutcome> | CallOutcome | undefined {
    const entry = this.entries.get(key);
    return entry?.outcome ?? entry?.running;
  }

  /** True when no further key can be kept. */
  isFull(): boolean {
    return this.entries.size >= this.limits.maxKeys;
  }

  /** Keys kept. */
  get size(): number {
    return this.entries.size;
  }

  /** Calls that have not ended. */
  running(): Promise<CallOutcome>[] {
    const all = [...this.entries.values()].map(({ running }) => running);
    return all.filter((promise) => promise !== undefined);
  }

  /** Notes that a key is begun. */
  begin(key: string, running: Promise<CallOutcome>): void {
    this.entries.set(key, { time: timeOfKey(key), running, outcome: undefined, bytes: 0 });
  }

  /** Keeps the outcome of a key. */
  finish(key: string, outcome: CallOutcome): void {
    const entry = this.entries.get(key);
    if (!entry) return;
    entry.running = undefined;
    entry.outcome = outcome;
    entry.bytes = sizeOf(outcome);
    this.bytes += entry.bytes;
    this.dropOldAnswers();
  }

  /** Forgets a key that was proved not to have run. */
  forget(key: string): void {
    this.entries.delete(key);
  }

  /** Raises the floor, and forgets the keys below it. */
  raiseFloor(floor: number): void {
    this.floor = Math.max(this.floor, floor);
    for (const [key, entry] of this.entries) {
      if (entry.time >= this.floor || entry.running) break;
      this.bytes -= entry.bytes;
      this.entries.delete(key);
    }
  }

  /** All keys, to be handed over; calls still running and very large answers become unknown. */
  rows(): TableRow[] {
    return [...this.entries].map(([key, { outcome, bytes }]) => {
      const isHandedOver = outcome && bytes <= MAX_HANDED_OVER_BYTES;
      return rowOf(key, isHandedOver ? outcome : dropped());
    });
  }

  /** Takes in rows that another home handed over. */
  load(rows: TableRow[]): void {
    rows.forEach((row) => {
      const outcome = outcomeOf(row);
      this.begin(row.key, Promise.resolve(outcome));
      this.finish(row.key, outcome);
    });
  }

  private dropOldAnswers(): void {
    for (const entry of this.entries.values()) {
      if (this.bytes <= this.limits.maxBytes) return;
      if (entry.bytes === 0) continue;
      this.bytes -= entry.bytes;
      entry.bytes = 0;
      entry.outcome = dropped();
    }
  }
}
