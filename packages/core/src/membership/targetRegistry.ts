import * as z from 'zod';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Clock, Timer } from '../runtime/clock.js';
import { createFailure } from '../runtime/failure.js';
import type { Failure } from '../runtime/failure.js';
import type { TargetState } from './member.js';
import { ResultCode } from '../runtime/resultCode.js';
import { createTargetLifecycle } from './targetLifecycle.js';

/** How often a target is asked to renew its announcement, in milliseconds. */
export const ANNOUNCEMENT_RENEWAL_MS = 1000;
const ANNOUNCEMENT_LAPSE_MS = 5 * ANNOUNCEMENT_RENEWAL_MS;

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

/** What a target says of itself. */
export type Announcement = z.infer<typeof announcementSchema>;

/** The target beside a daemon. */
export interface TargetRegistry {
  /** Takes an announcement or its renewal; fails with `badRequest`. */
  announce(message: unknown): Result<Announcement, Failure>;
  /** The last announcement, while it has not lapsed. */
  current(): Announcement | undefined;
  state(): TargetState;
  /** Calls `listener` after each change of state or of the announcement. */
  onChange(listener: () => void): void;
  /** Starts draining: no new work from now on. */
  drain(): void;
  /** Forgets the target. */
  stop(): void;
}

/** What a registry needs. */
export interface TargetRegistryOptions {
  clock: Clock;
}

/** Makes the registry of the one target beside a daemon. */
export function createTargetRegistry(options: TargetRegistryOptions): TargetRegistry {
  let lifecycle = createTargetLifecycle();
  let announcement: Announcement | undefined;
  let lapse: Timer | undefined;
  const listeners: (() => void)[] = [];

  function notify(): void {
    listeners.forEach((listener) => listener());
  }

  function lose(): void {
    announcement = undefined;
    if (lifecycle.send('lost')) notify();
  }

  function accept(next: Announcement): void {
    const moved = announcement?.port !== next.port || announcement.address !== next.address;
    if (moved && lifecycle.state() === 'draining') lifecycle = createTargetLifecycle();
    const changed = moved || announcement?.service !== next.service;
    announcement = next;
    const stateChanged = lifecycle.send(next.state === 'draining' ? 'drain' : 'ready');
    lapse?.cancel();
    lapse = options.clock.startTimer(ANNOUNCEMENT_LAPSE_MS, lose);
    if (changed || stateChanged) notify();
  }

  return {
    announce: (message) => {
      const parsed = announcementSchema.safeParse(message);
      if (!parsed.success) {
        const detail = z.prettifyError(parsed.error);
        return Err(createFailure(ResultCode.badRequest, `the announcement is wrong: ${detail}`));
      }
      const current = announcement;
      if (current && current.service !== parsed.data.service) {
        const text = `this daemon guards ${current.service}; give ${parsed.data.service} a daemon of its own`;
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
    stop: () => lapse?.cancel(),
  };
}
