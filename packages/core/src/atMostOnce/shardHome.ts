import { Err } from 'ts-results-es';
import type { OutcomeTable, CallOutcome } from './outcomeTable.js';
import type { Clock } from '../runtime/clock.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import { timeOfKey } from '../calls/idempotencyKey.js';
import { elapsedSince } from '../runtime/clockReading.js';
import type { AtMostOnceTiming } from './atMostOnceTiming.js';
import type { ClockReading } from '../runtime/clockReading.js';
import { ResultCode, isNotRun } from '../runtime/resultCode.js';
import type { ShardState } from './shardRecord.js';

/** Time limit for beginning one call. */
export interface ExecutionBounds {
  /**
   * Milliseconds within which the target may still begin the call; 0 when it may not.
   * Read it immediately before sending, and send it to the target as the latest start.
   */
  beginWithinMs(): number;
}

/**
 * Sends a call to the target. A `notRun…` or `bad…` failure guarantees that the target did not
 * begin the call; the key may then be retried. Any other outcome is final for the key.
 */
export type Execute = (bounds: ExecutionBounds) => Promise<CallOutcome>;

/** Options of `ShardHome`. */
export interface ShardHomeOptions {
  state: ShardState;
  table: OutcomeTable;
  /**
   * Calendar time. Keys minted before it, or up to twice `maxClockSkewMs` after it, may have been run
   * by an earlier home.
   */
  since: number;
  timing: AtMostOnceTiming;
  clock: Clock;
}

interface HomeLease {
  revision: number;
  start: ClockReading;
}

/** Home of one shard: runs each key at most once, and only under a valid home lease. */
export class ShardHome {
  state: ShardState;

  readonly table: OutcomeTable;

  readonly since: number;

  protected readonly clock: Clock;

  protected readonly timing: AtMostOnceTiming;

  private lease: HomeLease | undefined;

  /** Calendar time when the last granted lease was requested; any takeover happens after it. */
  private lastLeaseRequestedAt = -Infinity;

  private isSuspended = false;

  private readonly heldCalls = new Set<() => void>();

  private isRevoked = false;

  private deputyRespondedAt: number;

  constructor(options: ShardHomeOptions) {
    this.state = options.state;
    this.table = options.table;
    this.since = options.since;
    this.clock = options.clock;
    this.timing = options.timing;
    this.deputyRespondedAt = this.clock.now();
  }

  /** Records the home lease that the deputy granted for `revision`, requested at `requestedAt`. */
  recordLease(revision: number, requestedAt: ClockReading): void {
    if (revision !== this.state.revision) return;
    this.deputyRespondedAt = this.clock.now();
    const start = this.leaseStart(requestedAt);
    if (this.lease?.revision === revision && this.lease.start.monotonic >= start.monotonic) {
      return;
    }
    this.lease = { revision, start };
    this.lastLeaseRequestedAt = Math.max(this.lastLeaseRequestedAt, requestedAt.calendar);
    this.releaseHeldCalls();
  }

  /** Milliseconds since the last lease response of the deputy. */
  deputyIdleMs(): number {
    return this.clock.now() - this.deputyRespondedAt;
  }

  /** Restarts the measurement of the deputy's idle time. */
  resetDeputyIdleTime(): void {
    this.deputyRespondedAt = this.clock.now();
  }

  /** Begins no calls until `updateState` or `resume`, while a swap by this home is pending. */
  suspend(): void {
    this.isSuspended = true;
  }

  /** Begins calls again after a swap that certainly had no effect. */
  resume(): void {
    this.isSuspended = false;
    this.releaseHeldCalls();
  }

  /** Continues with a newer record that names this home and the same table. */
  updateState(state: ShardState): void {
    this.state = state;
    this.isSuspended = false;
    this.deputyRespondedAt = this.clock.now();
  }

  /** Begins no more calls, permanently: another daemon is home, or this one stops. */
  revoke(): void {
    this.isRevoked = true;
    this.releaseHeldCalls();
  }

  /** True when calls may begin now. */
  isServing(): boolean {
    return this.beginWithinMs() > 0;
  }

  /** Returns the outcome of a key, and runs `execute` if it has not begun. Never rejects. */
  async execute(key: string, execute: Execute): Promise<CallOutcome> {
    if (this.isRecordChanging() && !this.table.find(key)) await this.waitForRecordChange();
    const known = this.table.find(key);
    if (known) return known;
    this.table.forgetBefore(this.clock.date().getTime() - this.timing.retentionMs);
    const rejection = this.rejectionOf(key);
    if (rejection) return Err(rejection);
    const running = this.runOnce(key, execute);
    this.table.begin(key, running);
    return running;
  }

  /** Milliseconds within which calls may begin. */
  protected beginWithinMs(): number {
    if (this.isRevoked || this.isSuspended) return 0;
    if (!this.state.record.deputy) return this.timing.homeLeaseMs;
    if (this.lease?.revision !== this.state.revision) return 0;
    return Math.max(0, this.timing.homeLeaseMs - elapsedSince(this.clock, this.lease.start));
  }

  /** Start of the lease: the time of its request, since the deputy may have granted it at once. */
  // eslint-disable-next-line class-methods-use-this
  protected leaseStart(requestedAt: ClockReading): ClockReading {
    return requestedAt;
  }

  /** The bounds of an execution; they are read immediately before sending. */
  protected executionBounds(): ExecutionBounds {
    return { beginWithinMs: () => this.beginWithinMs() };
  }

  /** True while a swap by this home, or the first home lease after it, is pending. */
  private isRecordChanging(): boolean {
    if (this.isRevoked) return false;
    const { revision, record } = this.state;
    return this.isSuspended || (record.deputy !== null && this.lease?.revision !== revision);
  }

  /** Waits for the end of a record change, at most `recordChangeWaitMs`. */
  private async waitForRecordChange(): Promise<void> {
    await new Promise<void>((resolve) => {
      const release = (): void => {
        this.heldCalls.delete(release);
        resolve();
      };
      this.heldCalls.add(release);
      this.clock.startTimer(this.timing.recordChangeWaitMs, release);
    });
  }

  private releaseHeldCalls(): void {
    if (this.isRecordChanging()) return;
    this.heldCalls.forEach((release) => release());
  }

  private async runOnce(key: string, execute: Execute): Promise<CallOutcome> {
    // Lets `execute` record the key as begun before the call is sent.
    await Promise.resolve();
    let outcome: CallOutcome;
    try {
      outcome = await execute(this.executionBounds());
    } catch (error) {
      const message = `the call failed: ${(error as Error).message}`;
      outcome = Err(createFailure(ResultCode.unknownConnectionLost, message));
    }
    if (outcome.isErr() && isNotRun(outcome.error.code)) this.table.forget(key);
    else this.table.finish(key, outcome);
    return outcome;
  }

  private rejectionOf(key: string): Failure | undefined {
    const minted = timeOfKey(key);
    const maxSkewMs = this.timing.maxClockSkewMs;
    if (minted < this.table.minMintedAt) {
      const message =
        'the key is older than the retention time; find out whether it ran, then use a new key';
      return createFailure(ResultCode.badKeyExpired, message);
    }
    if (minted <= this.since + 2 * maxSkewMs) {
      const message =
        'an earlier home may have run the key; find out whether it ran, then use a new key';
      return createFailure(ResultCode.unknownKeyMayHaveRun, message);
    }
    if (!this.isProvenNotRun(minted)) {
      const message = 'this daemon may no longer be home of the key; retry with the same key';
      return createFailure(ResultCode.notHome, message);
    }
    if (minted > this.clock.date().getTime() + maxSkewMs) {
      const message = 'the key is from the future; correct the clock of the host that minted it';
      return createFailure(ResultCode.badKeyFromFuture, message);
    }
    if (this.isServing() && !this.table.isFull()) return undefined;
    const message = 'the home of the key cannot run it now; retry with the same key';
    return createFailure(ResultCode.notRunHomeUnavailable, message);
  }

  /**
   * True when no daemon can have run a key that is not in the table. A later home serves only keys
   * minted later than its takeover plus twice `maxClockSkewMs` by its own clock, so later than
   * `lastLeaseRequestedAt` plus `maxClockSkewMs` by the clock of this home.
   */
  protected isProvenNotRun(minted: number): boolean {
    if (this.isServing()) return true;
    if (this.isRevoked || this.isSuspended) return false;
    return minted <= this.lastLeaseRequestedAt + this.timing.maxClockSkewMs;
  }
}

/** Creates a home. Tests substitute variants that drop a rule of the protocol. */
export type ShardHomeFactory = (options: ShardHomeOptions) => ShardHome;

/** Creates the home used in production. */
export const createShardHome: ShardHomeFactory = (options) => new ShardHome(options);
