import type { Clock } from '../runtime/clock.js';
import type { Logger } from '../observability/logger.js';

/** What a target says of itself. */
export interface TargetHeartbeat {
  targetId: string;
  /** Unix time of its start, in milliseconds; distinguishes restarts under the same id. */
  startedAt: number;
  service: string;
  dataCentre: string;
  slots: number;
  state: 'ready' | 'draining';
  /** How much longer it is slow after its start, in milliseconds. */
  coldRemainingMs: number;
  /** Counts up within one life. */
  sequence: number;
}

/** The target beside this daemon, as its heartbeats report it. */
export interface LocalTargetState extends Omit<TargetHeartbeat, 'coldRemainingMs' | 'state'> {
  state: 'ready' | 'draining' | 'gone';
  /** Unix time until which it is slow, in milliseconds. */
  warmAt: number;
}

/** A target that has not sent a heartbeat for so long is taken as crashed, in milliseconds. */
const SILENT_HEARTBEATS_MS = 20_000;

/** Follows the heartbeats of the target beside this daemon; late ones change nothing. */
export class LocalTarget {
  private state: LocalTargetState | undefined;

  private heardAt = 0;

  /** Calendar time at which targets left that were not known here, by id, in milliseconds. */
  private readonly leftUnknown = new Map<string, number>();

  private readonly listeners: (() => void)[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** What is known of the target; undefined before its first heartbeat. */
  current(): LocalTargetState | undefined {
    return this.state;
  }

  /** True while the target takes new requests. */
  isReady(): boolean {
    return this.state?.state === 'ready' && this.clock.now() - this.heardAt < SILENT_HEARTBEATS_MS;
  }

  /** Calls `listener` after each change that others must know of. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Takes in a heartbeat; false when it belongs to the past. */
  receive(beat: TargetHeartbeat): boolean {
    if (this.isOld(beat)) {
      this.logger.log('info', 'late heartbeat ignored', {
        target: beat.targetId,
        sequence: beat.sequence,
        knownTarget: this.state?.targetId,
        knownSequence: this.state?.sequence,
      });
      return false;
    }
    const before = this.state;
    this.heardAt = this.clock.now();
    const { coldRemainingMs, ...rest } = beat;
    const isSameLife = before?.targetId === beat.targetId && before.startedAt === beat.startedAt;
    const warmAt = isSameLife ? before.warmAt : this.clock.date().getTime() + coldRemainingMs;
    // Leaving is final: a life that drains does not become ready again.
    const state = isSameLife && before.state !== 'ready' ? before.state : beat.state;
    this.state = { ...rest, state, warmAt };
    if (!isSameLife || before.state !== state) this.notify(before?.state);
    return true;
  }

  /** The target says that it has left. */
  leave(targetId: string): void {
    if (!this.state || this.state.targetId !== targetId) {
      this.logger.log('info', 'leaving of an unknown target', { target: targetId });
      this.leftUnknown.set(targetId, this.clock.date().getTime());
      return;
    }
    if (this.state.state === 'gone') return;
    const before = this.state.state;
    this.state = { ...this.state, state: 'gone' };
    this.notify(before);
  }

  private isOld({ targetId, startedAt, sequence }: TargetHeartbeat): boolean {
    // A daemon that was started again may hear of a leaving before a delayed heartbeat comes.
    const leftAt = this.leftUnknown.get(targetId);
    if (leftAt !== undefined && startedAt <= leftAt) return true;
    const known = this.state;
    if (!known) return false;
    if (startedAt !== known.startedAt) return startedAt < known.startedAt;
    return targetId === known.targetId && sequence < known.sequence;
  }

  private notify(before: string | undefined): void {
    const { state } = this;
    this.logger.log('info', 'target beside this daemon changed', {
      target: state?.targetId,
      service: state?.service,
      before: before ?? 'unknown',
      state: state?.state,
      sequence: state?.sequence,
    });
    this.listeners.forEach((listener) => listener());
  }
}
