import type { Clock } from '../runtime/clock.js';
import type { Logger } from '../observability/logger.js';
import { isSameRun } from './targetRun.js';
import type { TargetRun } from './targetRun.js';

/** Status that a target reports to the daemon beside it. */
export interface TargetHeartbeat extends TargetRun {
  service: string;
  dataCentre: string;
  slots: number;
  state: 'ready' | 'draining';
  /** Remaining warm-up time after the start, in milliseconds. */
  coldRemainingMs: number;
  /** Heartbeat number; starts over when the target restarts. */
  sequence: number;
}

/** State of the target beside this daemon, derived from its heartbeats. */
export interface LocalTargetState extends Omit<TargetHeartbeat, 'coldRemainingMs' | 'state'> {
  state: 'ready' | 'draining' | 'gone';
  /** Unix time at which the warm-up ends, in milliseconds. */
  warmAt: number;
}

/** What a former process of this daemon has acknowledged to a target that was leaving. */
export interface AcknowledgedLeaving extends TargetRun {
  state: 'draining' | 'gone';
}

/** Time without a heartbeat after which the target counts as crashed, in milliseconds. */
const HEARTBEAT_TIMEOUT_MS = 20_000;

/** Largest number of unknown targets whose deregistration is remembered. */
const MAX_UNKNOWN_DEPARTURES = 1000;

/** Tracks the state of the target beside this daemon by its heartbeats; stale ones are ignored. */
export class LocalTarget {
  private state: LocalTargetState | undefined;

  private lastHeartbeatAt = 0;

  /** Unix time at which unknown targets deregistered, in milliseconds, by target id. */
  private readonly unknownDepartures = new Map<string, number>();

  /** Leaving that a former process of this daemon has acknowledged. */
  private acknowledged: AcknowledgedLeaving | undefined;

  private readonly listeners: (() => void)[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    /** Whether a service is that of this host or is named in the configuration. */
    readonly isServiceKnown: (service: string) => boolean = () => true,
  ) {}

  /** State of the target; undefined before its first heartbeat. */
  current(): LocalTargetState | undefined {
    return this.state;
  }

  /** True while the target accepts new requests. */
  isReady(): boolean {
    return (
      this.state?.state === 'ready' &&
      this.clock.now() - this.lastHeartbeatAt < HEARTBEAT_TIMEOUT_MS
    );
  }

  /** Calls `listener` after each change that must be published to other daemons. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Restores what a former process of this daemon has acknowledged: a heartbeat from before, which
   * arrives late, must not make the target ready again.
   */
  restore(acknowledged: AcknowledgedLeaving): void {
    const { targetId, startedAt, state } = acknowledged;
    if (this.acknowledged?.state === 'gone' && this.isAcknowledged(acknowledged)) return;
    this.acknowledged = acknowledged;
    const known = this.state && this.isAcknowledged(this.state) ? this.state : undefined;
    if (known?.state === 'gone' || known?.state === state) return;
    this.logger.log('info', 'leaving of the local target restored', {
      target: targetId,
      startedAt,
      state,
    });
    if (!known) return;
    this.state = { ...known, state };
    this.notify(known.state);
  }

  private isAcknowledged({ targetId, startedAt }: TargetRun): boolean {
    const { acknowledged } = this;
    return acknowledged?.targetId === targetId && startedAt <= acknowledged.startedAt;
  }

  /** Processes a heartbeat of a known service; returns false if it is stale. */
  receive(heartbeat: TargetHeartbeat): boolean {
    if (this.isStale(heartbeat)) {
      this.logger.log('info', 'stale heartbeat ignored', {
        target: heartbeat.targetId,
        sequence: heartbeat.sequence,
        knownTarget: this.state?.targetId,
        knownSequence: this.state?.sequence,
      });
      return false;
    }
    const before = this.state;
    this.lastHeartbeatAt = this.clock.now();
    const { coldRemainingMs, ...rest } = heartbeat;
    const isSameStart = before !== undefined && isSameRun(heartbeat, before);
    const warmAt = isSameStart ? before.warmAt : this.clock.date().getTime() + coldRemainingMs;
    // Draining is final: the target becomes ready again only after a restart.
    const isLeaving = this.isAcknowledged(heartbeat);
    const knownState = isSameStart && before.state !== 'ready' ? before.state : heartbeat.state;
    const state = isLeaving && knownState === 'ready' ? 'draining' : knownState;
    this.state = { ...rest, state, warmAt };
    if (!isSameStart || before.state !== state) this.notify(before?.state);
    return true;
  }

  /** Marks a run of the target as draining although its heartbeats may not report it (yet). */
  recordLeaving(run: TargetRun): void {
    const known = this.state;
    if (!known || !isSameRun(run, known) || known.state !== 'ready') return;
    this.state = { ...known, state: 'draining' };
    this.notify('ready');
  }

  /** Marks the target as gone after it has deregistered. */
  leave(targetId: string): void {
    if (!this.state || this.state.targetId !== targetId) {
      this.logger.log('info', 'unknown target deregistered', { target: targetId });
      this.recordUnknownDeparture(targetId);
      return;
    }
    if (this.state.state === 'gone') return;
    const before = this.state.state;
    this.state = { ...this.state, state: 'gone' };
    this.notify(before);
  }

  private isStale({ targetId, startedAt, sequence }: TargetHeartbeat): boolean {
    // A restarted daemon may receive the deregistration of a target before a delayed heartbeat.
    const leftAt = this.unknownDepartures.get(targetId);
    if (leftAt !== undefined && startedAt <= leftAt) return true;
    if (this.acknowledged?.state === 'gone' && this.isAcknowledged({ targetId, startedAt })) {
      return true;
    }
    const known = this.state;
    if (!known) return false;
    if (startedAt !== known.startedAt) return startedAt < known.startedAt;
    return targetId === known.targetId && sequence < known.sequence;
  }

  private recordUnknownDeparture(targetId: string): void {
    const oldest = this.unknownDepartures.keys().next();
    const isFull = this.unknownDepartures.size >= MAX_UNKNOWN_DEPARTURES;
    if (isFull && !oldest.done) this.unknownDepartures.delete(oldest.value);
    this.unknownDepartures.set(targetId, this.clock.date().getTime());
  }

  private notify(before: string | undefined): void {
    const { state } = this;
    this.logger.log('info', 'state of the local target changed', {
      target: state?.targetId,
      service: state?.service,
      before: before ?? 'unknown',
      state: state?.state,
      sequence: state?.sequence,
    });
    this.listeners.forEach((listener) => listener());
  }
}
