import {
  ManualClock,
  MemoryDatabase,
  MemoryStore,
  ResultCode,
  createFailure,
  createHomeLocator,
  createAtMostOnceExecutor,
  createSeededRandom,
  isNotRun,
  mintKey,
  callerFailureOf,
  shardOf,
} from '@shallotcroft/core';
import type {
  CallOutcome,
  Directory,
  Execute,
  LogFields,
  Member,
  AtMostOnceExecutor,
  AtMostOnceTiming,
  ShardDeputyFactory,
  ShardHomeFactory,
  TargetState,
} from '@shallotcroft/core';
import { Err, Ok } from 'ts-results-es';
import { PausableClock } from './pausableClock.js';
import { PausableStore } from './pausableStore.js';
import { PeerNetwork } from './peerNetwork.js';
import { createMember, createStaticDirectory } from './staticDirectory.js';

const SERVICE = 'payments';
const FIRST_PORT = 7001;
const ROUTED_ATTEMPTS = 3;

/** An execution at a target. */
export interface RecordedExecution {
  key: string;
  daemon: string;
  at: number;
}

/** An attempt and its outcome. */
export interface RecordedOutcome {
  key: string;
  daemon: string;
  outcome: CallOutcome;
  /** Executions of the key up to the outcome. */
  executionsBefore: number;
}

/** One daemon of the fleet, with its target. */
export interface FleetDaemon {
  name: string;
  member: Member;
  clock: PausableClock;
  store: MemoryStore;
  executor: AtMostOnceExecutor;
  isAlive: boolean;
}

/** Options of `OneShotFleet`. */
export interface FleetOptions {
  shards: number;
  /** Time that a target takes for a call, in milliseconds. */
  workMs?: number;
  /** Time that a call waits for a slot before it is sent, in milliseconds. */
  queueMs?: number;
  timing?: Partial<AtMostOnceTiming>;
  createHome?: ShardHomeFactory;
  createDeputy?: ShardDeputyFactory;
  onLog?: (daemon: string, message: string, fields: LogFields) => void;
}

/** Daemons of one service in one process, with a manual clock. */
export class OneShotFleet {
  readonly clock = new ManualClock(new Date('2026-12-04T00:00:00Z'));

  readonly database = new MemoryDatabase(this.clock);

  readonly network = new PeerNetwork(this.clock);

  readonly executions: RecordedExecution[] = [];

  readonly outcomes: RecordedOutcome[] = [];

  readonly daemons = new Map<string, FleetDaemon>();

  private readonly listeners = new Set<() => void>();

  private readonly random = createSeededRandom(7);

  private readonly locator = createHomeLocator(this.directory());

  constructor(private readonly options: FleetOptions) {}

  /** Starts a daemon. A name used before keeps its peer port and gets a new incarnation. */
  add(name: string, dataCentre: string, shards = this.options.shards): FleetDaemon {
    const earlier = this.daemons.get(name);
    const peerPort = earlier?.member.peerPort ?? FIRST_PORT + this.daemons.size;
    const incarnationNumber = Number(earlier?.member.incarnation.split('#')[1] ?? 0) + 1;
    const member = createMember(
      `${name}#${incarnationNumber}`,
      name,
      dataCentre,
      SERVICE,
      peerPort,
    );
    const clock = new PausableClock(this.clock);
    const store = new MemoryStore(this.clock, this.database);
    const executor = this.createExecutor(member, clock, store, shards);
    const daemon: FleetDaemon = { name, member, clock, store, executor, isAlive: true };
    this.daemons.set(name, daemon);
    this.notifyListeners();
    executor.start();
    return daemon;
  }

  /** The daemon with this name. */
  daemon(name: string): FleetDaemon {
    return this.daemons.get(name) as FleetDaemon;
  }

  /** Ends a daemon at once: its clock and its connections stop. */
  kill(name: string): void {
    const daemon = this.daemon(name);
    daemon.isAlive = false;
    daemon.clock.pause();
    this.network.disconnect(daemon.member.peerPort);
    this.setState(name, 'gone');
  }

  /** Sets the state of a target as the other daemons see it. */
  setState(name: string, state: TargetState): void {
    this.daemon(name).member.state = state;
    this.notifyListeners();
  }

  /** Interrupts the network between two daemons, or restores it when `isCut` is false. */
  cut(left: string, right: string, isCut = true): void {
    const portOf = (name: string): number => this.daemon(name).member.peerPort;
    this.network.cut(portOf(left), portOf(right), isCut);
  }

  /** Makes the store unavailable to all daemons, or available again. */
  setStoreDown(down: boolean): void {
    this.daemons.forEach((daemon) => daemon.store.setDown(down));
  }

  /** Mints a key. */
  mint(): string {
    return mintKey(this.clock, this.random);
  }

  /** Name of the home of a key, by the claims of the members. */
  homeOf(key: string): string | undefined {
    return this.locator.homeOf(SERVICE, shardOf(key, this.options.shards))?.host;
  }

  /** Makes one attempt at the given daemon. */
  async attempt(name: string, key: string): Promise<CallOutcome> {
    const { executor, clock } = this.daemon(name);
    await clock.untilResumed();
    const outcome = await executor.execute(key, this.executeAt(name, key));
    await clock.untilResumed();
    this.recordOutcome(name, key, outcome);
    return outcome;
  }

  /** Makes a call as a router does: at the claimed home, with retries on `notHome`. */
  async call(key: string): Promise<CallOutcome> {
    let outcome: CallOutcome = Err(createFailure(ResultCode.notHome, 'no home is known'));
    for (let attempt = 0; attempt < ROUTED_ATTEMPTS; attempt++) {
      const home = this.homeOf(key);
      if (home) outcome = await this.attempt(home, key);
      if (outcome.isOk() || outcome.error.code !== ResultCode.notHome) return outcome;
      await this.clock.sleep(50);
    }
    return outcome.mapErr((failure) => callerFailureOf(failure, false));
  }

  /** Number of executions of a key. */
  executionsOf(key: string): number {
    return this.executions.filter((execution) => execution.key === key).length;
  }

  /** Keys that ran more than once, and keys reported as not run that had run. */
  violations(): string[] {
    const keys = new Set(this.executions.map(({ key }) => key));
    const twice = [...keys].filter((key) => this.executionsOf(key) > 1);
    const falseNotRun = this.outcomes.filter(
      ({ outcome, executionsBefore }) =>
        outcome.isErr() && isNotRun(outcome.error.code) && executionsBefore > 0,
    );
    return [
      ...twice.map((key) => `${key} ran ${this.executionsOf(key)} times`),
      ...falseNotRun.map(({ key, daemon }) => `${daemon} said not run of ${key}, which ran`),
    ];
  }

  /** Advances the time of all daemons. */
  async advance(ms: number): Promise<void> {
    await this.clock.advance(ms);
  }

  private createExecutor(
    member: Member,
    clock: PausableClock,
    store: MemoryStore,
    shards: number,
  ): AtMostOnceExecutor {
    const { timing, createHome, createDeputy, onLog } = this.options;
    return createAtMostOnceExecutor({
      self: member,
      service: SERVICE,
      shards,
      store: new PausableStore(store, clock),
      ...this.network.connect(member.peerPort, clock),
      directory: this.directory(),
      clock,
      random: this.random,
      logger: { log: (_level, message, fields) => onLog?.(member.host, message, fields ?? {}) },
      onClaims: (claims) => {
        Object.assign(member, { homes: claims });
        this.notifyListeners();
      },
      ...(timing ? { timing } : {}),
      ...(createHome ? { createHome } : {}),
      ...(createDeputy ? { createDeputy } : {}),
    });
  }

  private executeAt(name: string, key: string): Execute {
    const { clock } = this.daemon(name);
    return async (bounds) => {
      const { queueMs, workMs } = this.options;
      if (queueMs) await clock.sleep(queueMs);
      if (bounds.beginWithinMs() <= 0) {
        return Err(createFailure(ResultCode.notRunHomeUnavailable, 'the home lease has expired'));
      }
      this.executions.push({ key, daemon: name, at: this.clock.now() });
      if (workMs) await clock.sleep(workMs);
      return Ok({ status: 200, headers: {}, body: Buffer.from(`done by ${name}`) });
    };
  }

  private recordOutcome(daemon: string, key: string, outcome: CallOutcome): void {
    this.outcomes.push({ key, daemon, outcome, executionsBefore: this.executionsOf(key) });
  }

  private directory(): Directory {
    const members = (): Member[] => [...this.daemons.values()].map(({ member }) => member);
    return createStaticDirectory(members, (listener) => {
      this.listeners.add(listener);
      return () => this.listeners.delete(listener);
    });
  }

  private notifyListeners(): void {
    this.listeners.forEach((listener) => listener());
  }
}
