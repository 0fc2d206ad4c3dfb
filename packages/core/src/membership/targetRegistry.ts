import * as z from 'zod';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Clock, Timer } from '../runtime/clock.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import type { TargetState } from './member.js';
import { ResultCode } from '../runtime/resultCode.js';
import { createTargetLifecycle } from './targetLifecycle.js';

/** Interval at which a target renews its announcement, in milliseconds. */
export const ANNOUNCEMENT_RENEWAL_MS = 1000;

/** Time without a renewal after which an announcement expires, in milliseconds. */
const ANNOUNCEMENT_EXPIRY_MS = 5 * ANNOUNCEMENT_RENEWAL_MS;

const announcementSchema = z.object({
  service: z.string().min(1),
  address: z.string().min(1),
  port: z.number().int().min(1).max(65_535),
  slots: z.number().int().positive().optional(),
  healthUrl: z.string().optional(),
  loadUrl: z.string().optional(),
  state: z.enum(['serving', 'draining']).default('serving'),
  /** Sends `102 Processing` at least every 300 ms while it works on a call. */
  interimAnswers: z.boolean().default(false),
});

/** Announcement of a target to its daemon. */
export type Announcement = z.infer<typeof announcementSchema>;

/** State of the target of a daemon. */
export interface TargetRegistry {
  /** Accepts an announcement or its renewal; fails with `badRequest` if it is invalid. */
  announce(message: unknown): Result<Announcement, Failure>;
  /** The last announcement, until it expires. */
  current(): Announcement | undefined;
  state(): TargetState;
  /** Calls `listener` after each change of state or of the announcement. */
  onChange(listener: () => void): void;
  /** Starts draining: the target takes no new calls. */
  drain(): void;
  /** Cancels the expiry of the announcement. */
  stop(): void;
}

/** Options of `createTargetRegistry`. */
export interface TargetRegistryOptions {
  clock: Clock;
}

/** Creates the registry of the single target of a daemon. */
export function createTargetRegistry(options: TargetRegistryOptions): TargetRegistry {
  let lifecycle = createTargetLifecycle();
  let announcement: Announcement | undefined;
  let expiryTimer: Timer | undefined;
  const listeners: (() => void)[] = [];

  function notify(): void {
    listeners.forEach((listener) => listener());
  }

  function expireAnnouncement(): void {
    announcement = undefined;
    if (lifecycle.send('lost')) notify();
  }

  function accept(next: Announcement): void {
    const hasMoved = announcement?.port !== next.port || announcement.address !== next.address;
    if (hasMoved && lifecycle.state() === 'draining') lifecycle = createTargetLifecycle();
    const hasChanged = hasMoved || announcement?.service !== next.service;
    announcement = next;
    const hasStateChanged = lifecycle.send(next.state === 'draining' ? 'drain' : 'ready');
    expiryTimer?.cancel();
    expiryTimer = options.clock.startTimer(ANNOUNCEMENT_EXPIRY_MS, expireAnnouncement);
    if (hasChanged || hasStateChanged) notify();
  }

  return {
    announce: (message) => {
      const parsed = announcementSchema.safeParse(message);
      if (!parsed.success) {
        const detail = z.prettifyError(parsed.error);
        return Err(createFailure(ResultCode.badRequest, `invalid announcement: ${detail}`));
      }
      const current = announcement;
      if (current && current.service !== parsed.data.service) {
        const text = `this daemon serves ${current.service}; ${parsed.data.service} needs its own daemon`;
        return Err(createFailure(ResultCode.badRequest, text));
      }
      accept(parsed.data);
      return Ok(parsed.data);
    },
    current: () => announcement,
    state: () => lifecycle.state(),
    onChange: (listener) => {
      listeners.push(listener);
    },
    drain: () => {
      if (lifecycle.send('drain')) notify();
    },
    stop: () => expiryTimer?.cancel(),
  };
}
