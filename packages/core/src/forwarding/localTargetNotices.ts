import type { LocalTarget } from '../directory/localTarget.js';
import { isSameRun } from '../directory/targetRun.js';
import type { TargetRun } from '../directory/targetRun.js';
import type { LogFields, Logger } from '../observability/logger.js';
import type { Clock } from '../runtime/clock.js';
import type { TargetNotice } from './forwardedRequest.js';
import type { TargetRateLimit } from './hopMessages.js';

/** Interval at which the request rate is logged while the target names a limit, in milliseconds. */
const RATE_LOG_INTERVAL_MS = 1000;

/** A notice with the response that carried it. */
export interface ReceivedNotice {
  notice: TargetNotice;
  /** Run of the target to which the request was sent. */
  run: TargetRun;
  /** Id of the request that the response belongs to. */
  requestId: string;
  /** When the request was sent, on the monotonic clock, in milliseconds. */
  sentAt: number;
}

/** Options of `LocalTargetNotices`. */
export interface LocalTargetNoticesOptions {
  clock: Clock;
  logger: Logger;
  target: LocalTarget;
}

/** Limit in force. Times are on the monotonic clock, in milliseconds. */
interface KnownLimit extends TargetRateLimit {
  /** Since when the target has named a limit, this one or another. */
  since: number;
  /** When the request was sent whose response named this limit. */
  requestSentAt: number;
}

/** Keeps what the local target tells about itself in its responses. */
export class LocalTargetNotices {
  private run: TargetRun | undefined;

  private limit: KnownLimit | undefined;

  /** True once the present run of the target has responded to this process. */
  private hasResponded = false;

  private sentRequests = 0;

  private countedSince: number;

  private readonly listeners: (() => void)[] = [];

  constructor(private readonly options: LocalTargetNoticesOptions) {
    this.countedSince = options.clock.now();
    options.target.onChange(() => this.checkRun());
  }

  /** The limit that the present run of the target names; undefined without one. */
  rateLimit(): TargetRateLimit | undefined {
    return this.limit;
  }

  /** Calls `listener` after each change of the limit. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Records the notice of a response. */
  receive({ notice, run, requestId, sentAt }: ReceivedNotice): void {
    if (!isSameRun(run, this.run)) return;
    if (notice.isLeaving) this.recordLeaving(run, requestId);
    if (notice.rateLimit === 'unreadable') {
      this.options.logger.log('warn', 'unreadable rate limit in a response of the local target', {
        target: run.targetId,
        request: requestId,
      });
      return;
    }
    this.hasResponded = true;
    const requestsPerSecond = notice.rateLimit === 'none' ? undefined : notice.rateLimit;
    if (this.isOutdated(requestsPerSecond, sentAt)) return;
    const limit = requestsPerSecond === undefined ? undefined : { ...run, requestsPerSecond };
    this.setLimit(limit, sentAt, { request: requestId });
  }

  /** Takes over a limit that a former process of this daemon reported, until the target responds. */
  adopt(limit: TargetRateLimit): void {
    if (this.limit || this.hasResponded || !isSameRun(limit, this.run)) return;
    this.setLimit(limit, this.options.clock.now(), { cause: 'reported by another daemon' });
  }

  /** Counts a request that is sent to the target. */
  recordSend(): void {
    const { clock, logger } = this.options;
    const overMs = clock.now() - this.countedSince;
    if (overMs >= RATE_LOG_INTERVAL_MS) {
      if (this.limit) {
        logger.log('info', 'requests sent to a target with a rate limit', {
          rateLimit: this.limit.requestsPerSecond,
          sent: this.sentRequests,
          overMs: Math.round(overMs),
        });
      }
      this.countedSince += overMs;
      this.sentRequests = 0;
    }
    this.sentRequests += 1;
  }

  private recordLeaving(run: TargetRun, requestId: string): void {
    const { target, logger } = this.options;
    if (target.current()?.state !== 'ready') return;
    logger.log('info', 'local target is leaving by its response', {
      target: run.targetId,
      request: requestId,
    });
    target.recordLeaving(run);
  }

  private checkRun(): void {
    const run = this.options.target.current();
    if (run && isSameRun(run, this.run)) return;
    this.run = run;
    this.hasResponded = false;
    this.setLimit(undefined, 0, { cause: 'another run of the target' });
  }

  /**
   * True if a response is not certain to be newer than the one that named the present limit. Responses
   * do not arrive in the order in which the target writes them. A lower limit applies at once.
   */
  private isOutdated(requestsPerSecond: number | undefined, sentAt: number): boolean {
    const { limit } = this;
    if (!limit) return false;
    if (requestsPerSecond === undefined) return sentAt < limit.since;
    return requestsPerSecond > limit.requestsPerSecond && sentAt < limit.requestSentAt;
  }

  private setLimit(
    limit: TargetRateLimit | undefined,
    requestSentAt: number,
    reason: LogFields,
  ): void {
    const { clock, logger } = this.options;
    const before = this.limit;
    this.limit = limit && { ...limit, requestSentAt, since: before?.since ?? clock.now() };
    if (before?.requestsPerSecond === limit?.requestsPerSecond) return;
    logger.log('info', 'rate limit of the local target changed', {
      target: this.run?.targetId,
      before: before?.requestsPerSecond ?? 'none',
      rateLimit: limit?.requestsPerSecond ?? 'none',
      ...reason,
    });
    this.listeners.forEach((listener) => listener());
  }
}
