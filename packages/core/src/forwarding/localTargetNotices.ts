import type { Clock } from '../runtime/clock.js';
import type { Logger } from '../observability/logger.js';
import type { TargetNotice } from './forwardedRequest.js';

/** Interval at which the request rate is logged while the target names a limit, in milliseconds. */
const RATE_LOG_INTERVAL_MS = 1000;

/** A notice with the response that carried it. */
export interface ReceivedNotice {
  notice: TargetNotice;
  targetId: string;
  /** Id of the request that the response belongs to. */
  requestId: string;
}

/** Logs what the local target tells about itself in its responses, and how many requests it gets. */
export class LocalTargetNotices {
  private rateLimit: TargetNotice['rateLimit'] = 'none';

  private leavingTargetId: string | undefined;

  private sentRequests = 0;

  private countedSince: number;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.countedSince = clock.now();
  }

  /** Requests per second that the target named in its last response; undefined without a limit. */
  currentLimit(): number | undefined {
    return typeof this.rateLimit === 'number' ? this.rateLimit : undefined;
  }

  /** Records the notice of a response. */
  receive({ notice, targetId, requestId }: ReceivedNotice): void {
    if (notice.rateLimit !== this.rateLimit) {
      this.logger.log('info', 'rate limit of the local target changed', {
        target: targetId,
        request: requestId,
        before: this.rateLimit,
        rateLimit: notice.rateLimit,
      });
      this.rateLimit = notice.rateLimit;
    }
    if (notice.isLeaving && this.leavingTargetId !== targetId) {
      this.leavingTargetId = targetId;
      this.logger.log('info', 'local target is leaving by its response', {
        target: targetId,
        request: requestId,
      });
    }
  }

  /** Counts a request that is sent to the target. */
  recordSend(): void {
    const overMs = this.clock.now() - this.countedSince;
    if (overMs >= RATE_LOG_INTERVAL_MS) {
      if (this.rateLimit !== 'none') {
        this.logger.log('info', 'requests sent to a target with a rate limit', {
          rateLimit: this.rateLimit,
          sent: this.sentRequests,
          overMs: Math.round(overMs),
        });
      }
      this.countedSince += overMs;
      this.sentRequests = 0;
    }
    this.sentRequests += 1;
  }
}
