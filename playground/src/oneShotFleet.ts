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

/** One execution seen at a target. */
export interface SeenExecution {
  key: string;
  daemon: string;
  at: number;
}

/** An attempt and what its caller was told. */
export interface SeenAnswer {
  key: string;
  daemon: string;
  outcome: CallOutcome;
  /** Executions of the key when the answer was given. */
  executionsThen: number;
}

/** One daemon of the fleet, with its target. */
export interface FleetDaemon {
  name: string;
  member: Member;
  clock: PausableClock;
  store: MemoryStore;
  executor: AtMostOnceExecutor;
  alive: boolean;
}

/** What a fleet is made with. */
export interface FleetOptions {
  shards: number;
  /** How long a target works on a call, in milliseconds. */
  workMs?: number;
  /** How long a call waits for its slot before it is sent, in milliseconds. */
  queueMs?: number;
  timing?: Partial<AtMostOnceTiming>;
  createHome?: ShardHomeFactory;
  createDeputy?: ShardDeputyFactory;
  onLog?: (daemon: string, message: string, fields: LogFields) => void;
}

/** Daemons of one service in one process, on a clock that is told what the time is. */
export class OneShotFleet {
  readonly clock = new ManualClock(new Date('2026-12-04T00:00:00Z'));

  readonly database = new MemoryDatabase(this.clock);

  readonly network = new PeerNetwork(this.clock);

  readonly executions: SeenExecution[] = [];

  readonly answers: SeenAnswer[] = [];

  readonly daemons = new Map<string, FleetDaemon>();

  private readonly listeners = new Set<() => void>();

  private readonly random = createSeededRandom(7);

  private readonly locator = createHomeLocator(this.directory());

  constructor(private readonly options: FleetOptions) {}

  /** Starts a daemon; one with the name of an ended one listens where that did. */
  add(name: string, dataCentre: string, shards = this.options.shards): FleetDaemon {
    const earlier = this.daemons.get(name);
    const peerPort = earlier?.member.peerPort ?? FIRST_PORT + this.daemons.size;
    const run = Number(earlier?.member.incarnation.split('#')[1] ?? 0) + 1;
    const member = createMember(`${name}#${run}`, name, dataCentre, SERVICE, peerPort);
    const clock = new PausableClock(this.clock);
    const store = new MemoryStore(this.clock, this.database);
    const executor = this.createOneShot(member, clock, store, shards);
    const daemon: FleetDaemon = { name, member, clock, store, executor, alive: true };
    this.daemons.set(name, daemon);
    this.changed();
    executor.start();
    return daemon;
  }

  /** The daemon with this name. */
  daemon(name: string): FleetDaemon {
    return this.daemons.get(name) as FleetDaemon;
  }

  /** Ends a daemon at once: nothing of it happens any more. */
  kill(name: string): void {
    const daemon = this.daemon(name);
    daemon.alive = false;
    daemon.clock.pause();
    this.network.disconnect(daemon.member.peerPort);
    this.setState(name, 'gone');
  }

  /** What the others see of a target. */
  setState(name: string, state: TargetState): void {
    this.daemon(name).member.state = state;
    this.changed();
  }

  /** Cuts two daemons off from one another. */
  cut(left: string, right: string, isCut = true): void {
    const portOf = (name: string): number => this.daemon(name).member.peerPort;
    this.network.cut(portOf(left), portOf(right), isCut);
  }

  /** Takes the store away from all daemons. */
  setStoreDown(down: boolean): void {
    this.daemons.forEach((daemon) => daemon.store.setDown(down));
  }

  /** A fresh key. */
  mint(): string {
    return mintKey(this.clock, this.random);
  }

  /** Name of the daemon that the others take for the home of a key. */
  homeOf(key: string): string | undefined {
    return this.locator.homeOf(SERVICE, shardOf(key, this.options.shards))?.host;
  }

  /** One attempt, straight to a daemon. */
  async attempt(name: string, key: string): Promise<CallOutcome> {
    const { executor, clock } = this.daemon(name);
    await clock.awake();
    const outcome = await executor.execute(key, this.executeAt(name, key));
    await clock.awake();
    this.note(name, key, outcome);
    return outcome;
  }

  /** A call as a router makes it: to the home by the claims, again when that is not home any more. */
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

  /** Executions of a key. */
  executionsOf(key: string): number {
    return this.executions.filter((execution) => execution.key === key).length;
  }

  /** What must always hold; empty when it does. */
  violations(): string[] {
    const keys = new Set(this.executions.map(({ key }) => key));
    const twice = [...keys].filter((key) => this.executionsOf(key) > 1);
    const untrue = this.answers.filter(
      ({ outcome, executionsThen }) =>
        outcome.isErr() && isNotRun(outcome.error.code) && executionsThen > 0,
    );
    return [
      ...twice.map((key) => `${key} ran ${this.executionsOf(key)} times`),
      ...untrue.map(({ key, daemon }) => `${daemon} said not run of ${key}, which ran`),
    ];
  }

  /** Moves time forward. */
  async advance(ms: number): Promise<void> {
    await this.clock.advance(ms);
  }

  private createOneShot(
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
        this.changed();
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
        return Err(createFailure(ResultCode.notRunHomeUnavailable, 'the pledge has lapsed'));
      }
      this.executions.push({ key, daemon: name, at: this.clock.now() });
      if (workMs) await clock.sleep(workMs);
      return Ok({ status: 200, headers: {}, body: Buffer.from(`done by ${name}`) });
    };
  }

  private note(daemon: string, key: string, outcome: CallOutcome): void {
    this.answers.push({ key, daemon, outcome, executionsThen: this.executionsOf(key) });
  }

  private directory(): Directory {
    const members = (): Member[] => [...this.daemons.values()].map(({ member }) => member);
    return createStaticDirectory(members, (listener) => {
      this.listeners.add(listener);
      return () => this.listeners.delete(listener);
    });
  }

  private changed(): void {
    this.listeners.forEach((listener) => listener());
  }
}
