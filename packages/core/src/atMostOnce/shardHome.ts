import { Err } from 'ts-results-es';
import type { OutcomeTable, CallOutcome } from './outcomeTable.js';
import type { Clock } from '../runtime/clock.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { timeOfKey } from '../calls/idempotencyKey.js';
import { elapsedSince } from './atMostOnceTiming.js';
import type { Instant, AtMostOnceTiming } from './atMostOnceTiming.js';
import { ResultCode, isNotRun } from '../runtime/resultCode.js';
import type { ShardState } from './shardRecord.js';

/** What binds the execution of one call. */
export interface ExecutionBounds {
  /**
   * Milliseconds for which the call may still be begun at the target; 0 when it may not.
   * To be read immediately before sending, and to be sent along as the latest start.
   */
  beginWithinMs(): number;
}

/**
 * Sends a call to the target. A `notRun…` or `bad…` failure promises that the target began nothing;
 * the key may then be tried again. Any other outcome is final for the key.
 */
export type Execute = (bounds: ExecutionBounds) => Promise<CallOutcome>;

/** What a home is made from. */
export interface ShardHomeOptions {
  state: ShardState;
  table: OutcomeTable;
  /** Keys minted up to here and a little later may have been run by an earlier home. */
  since: number;
  timing: AtMostOnceTiming;
  clock: Clock;
}

interface HeldPledge {
  revision: number;
  start: Instant;
}

/** Home of one shard: runs each key at most once, and only under the deputy's pledge. */
export class ShardHome {
  state: ShardState;

  readonly table: OutcomeTable;

  readonly since: number;

  protected readonly clock: Clock;

  protected readonly timing: AtMostOnceTiming;

  private pledge: HeldPledge | undefined;

  /** Calendar time of the asking for the last pledge: whoever takes over does so after it. */
  private soleAt = -Infinity;

  private suspended = false;

  private readonly held = new Set<() => void>();

  private lost = false;

  private deputySeenAt: number;

  constructor(options: ShardHomeOptions) {
    this.state = options.state;
    this.table = options.table;
    this.since = options.since;
    this.clock = options.clock;
    this.timing = options.timing;
    this.deputySeenAt = this.clock.now();
  }

  /** Notes the deputy's pledge for `revision`, asked for at `asked`. */
  pledged(revision: number, asked: Instant): void {
    if (revision !== this.state.revision) return;
    this.deputySeenAt = this.clock.now();
    const start = this.pledgeStart(asked);
    if (this.pledge?.revision === revision && this.pledge.start.monotonic >= start.monotonic) {
      return;
    }
    this.pledge = { revision, start };
    this.soleAt = Math.max(this.soleAt, asked.calendar);
    this.releaseHeld();
  }

  /** Milliseconds since the deputy last gave a sign. */
  deputySilenceMs(): number {
    return this.clock.now() - this.deputySeenAt;
  }

  /** Counts the silence of the deputy from now on. */
  forgiveSilence(): void {
    this.deputySeenAt = this.clock.now();
  }

  /** Begins nothing more until `adopt` or `resume`: a swap by this home is under way. */
  suspend(): void {
    this.suspended = true;
  }

  /** Goes on after a swap that surely did nothing. */
  resume(): void {
    this.suspended = false;
    this.releaseHeld();
  }

  /** Goes on with the next record that names this home and its table. */
  adopt(state: ShardState): void {
    this.state = state;
    this.suspended = false;
    this.deputySeenAt = this.clock.now();
  }

  /** Begins nothing more, ever: the record names another home. */
  lose(): void {
    this.lost = true;
    this.releaseHeld();
  }

  /** True when calls may be begun now. */
  isServing(): boolean {
    return this.beginWithinMs() > 0;
  }

  /** The outcome of a key, running it if it was never begun. Never rejects. */
  async execute(key: string, execute: Execute): Promise<CallOutcome> {
    if (this.isChanging() && !this.table.find(key)) await this.hold();
    const kept = this.table.find(key);
    if (kept) return kept;
    this.table.raiseFloor(this.clock.date().getTime() - this.timing.retentionMs);
    const refusal = this.refusalOf(key);
    if (refusal) return Err(refusal);
    const running = this.runOnce(key, execute);
    this.table.begin(key, running);
    return running;
  }

  /** Milliseconds for which calls may be begun. */
  protected beginWithinMs(): number {
    if (this.lost || this.suspended) return 0;
    if (!this.state.record.deputy) return this.timing.pledgeMs;
    if (this.pledge?.revision !== this.state.revision) return 0;
    return Math.max(0, this.timing.pledgeMs - elapsedSince(this.clock, this.pledge.start));
  }

  /** From when a pledge counts: from the asking, since the deputy may have granted at once. */
  // eslint-disable-next-line class-methods-use-this
  protected pledgeStart(asked: Instant): Instant {
    return asked;
  }

  /** The bounds that an execution gets; they are read when it is about to be sent. */
  protected boundsOfExecution(): ExecutionBounds {
    return { beginWithinMs: () => this.beginWithinMs() };
  }

  /** True while a swap by this home, or the first pledge after one, is awaited. */
  private isChanging(): boolean {
    if (this.lost) return false;
    const { revision, record } = this.state;
    return this.suspended || (record.deputy !== null && this.pledge?.revision !== revision);
  }

  /** Waits a short while for the end of a change. */
  private async hold(): Promise<void> {
    await new Promise<void>((resolve) => {
      const release = (): void => {
        this.held.delete(release);
        resolve();
      };
      this.held.add(release);
      this.clock.startTimer(this.timing.holdMs, release);
    });
  }

  private releaseHeld(): void {
    if (this.isChanging()) return;
    this.held.forEach((release) => release());
  }

  private async runOnce(key: string, execute: Execute): Promise<CallOutcome> {
    // The key is noted as begun before anything else happens.
    await Promise.resolve();
    let outcome: CallOutcome;
    try {
      outcome = await execute(this.boundsOfExecution());
    } catch (error) {
      const message = `the call broke off: ${(error as Error).message}`;
      outcome = Err(createFailure(ResultCode.unknownConnectionLost, message));
    }
    if (outcome.isErr() && isNotRun(outcome.error.code)) this.table.forget(key);
    else this.table.finish(key, outcome);
    return outcome;
  }

  private refusalOf(key: string): Failure | undefined {
    const minted = timeOfKey(key);
    const bound = this.timing.clockBoundMs;
    if (minted < this.table.floor) {
      const message =
        'the key is older than keys are kept; find out whether it ran, then use a new one';
      return createFailure(ResultCode.badKeyExpired, message);
    }
    if (minted <= this.since + 2 * bound) {
      const message = 'an earlier home of the key may have run it; find out before using a new key';
      return createFailure(ResultCode.unknownKeyMayHaveRun, message);
    }
    if (!this.isProvenNotRun(minted)) {
      const message = 'this daemon may not be home of the key any more; try the key again';
      return createFailure(ResultCode.notHome, message);
    }
    if (minted > this.clock.date().getTime() + bound) {
      const message = 'the key is from the future; set the clock of the host that minted it';
      return createFailure(ResultCode.badKeyFromFuture, message);
    }
    if (this.isServing() && !this.table.isFull()) return undefined;
    const message = 'the home of the key cannot run it now; try the key again';
    return createFailure(ResultCode.notRunHomeUnavailable, message);
  }

  /**
   * True when nobody can have run a key that is not in the table. A later home serves only keys
   * minted after it took over plus two clock bounds, so after `soleAt` plus one.
   */
  protected isProvenNotRun(minted: number): boolean {
    if (this.isServing()) return true;
    if (this.lost || this.suspended) return false;
    return minted <= this.soleAt + this.timing.clockBoundMs;
  }
}

/** Makes homes; tests pass in others, to show what each rule is for. */
export type ShardHomeFactory = (options: ShardHomeOptions) => ShardHome;

/** Makes the homes of production. */
export const createShardHome: ShardHomeFactory = (options) => new ShardHome(options);
