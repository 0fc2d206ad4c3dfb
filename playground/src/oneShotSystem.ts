import {
  ResultCode,
  ShardManager,
  createFailure,
  createSeededRandom,
  createShardDeputy,
  createShardHome,
  defaultOutcomeTableLimits,
  defaultAtMostOnceTiming,
  isNotRun,
  mintKey,
  silentLogger,
} from '@shallotcroft/core';
import type {
  CallOutcome,
  Execute,
  Failure,
  Member,
  PeerMethod,
  ShardDeputyFactory,
  ShardHomeFactory,
  ShardRecord,
} from '@shallotcroft/core';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { ExplorableSystem, Step } from './explorer.js';
import { ExplorerClock } from './explorerClock.js';
import { ExplorerDatabase } from './explorerDatabase.js';
import { ExplorerStore } from './explorerStore.js';
import type { StoreRequest } from './explorerStore.js';
import { fingerprintOf } from './fingerprint.js';
import { createMember, createStaticDirectory } from './staticDirectory.js';

const SERVICE = 's';
const RECORD_KEY = `shallotcroft/shards/${SERVICE}/0`;
const EPOCH_MS = Date.UTC(2026, 11, 4);
const TICK_MS = 1000;
const HOME_LEASE_TICKS = 2;
const NEVER_MS = 1e9;
const MAX_REQUESTS_IN_FLIGHT = 1;
const MAX_RESPONSES_IN_FLIGHT = 2;

/**
 * How a target starts a call: at once, after a delay, or after a delay and only before the latest
 * start.
 */
export type TargetStart = 'atOnce' | 'delayed' | 'delayedWithLatestStart';

/** Configuration of an `OneShotSystem`. */
export interface OneShotCase {
  /** The first is home and the second deputy; the others can become deputy. */
  daemons: string[];
  ticks: number;
  attempts: number;
  targetStart: TargetStart;
  /** Ticks after which the home replaces an idle deputy; undefined: never. */
  deputyTimeoutTicks?: number;
  /** True when the home may leave, and hand its shard over. */
  hasHandover?: boolean;
  /** False when swaps ignore the expected revision. */
  isStoreComparing: boolean;
  /** True when the response to a read may arrive later than the read takes effect. */
  hasStaleReads: boolean;
  createHome?: ShardHomeFactory;
  createDeputy?: ShardDeputyFactory;
}

interface Message {
  from: string;
  to: string;
  text: string;
  phase: 'asked' | 'answered' | 'done';
  handle(): void;
  respond(): void;
}

interface Daemon {
  member: Member;
  manager: ShardManager;
  methods: Map<string, PeerMethod>;
}

interface PendingStep {
  name: string;
  go(): void;
}

/**
 * Daemons that run the production protocol code, with a store and messages under control of the
 * explorer.
 */
export class OneShotSystem implements ExplorableSystem {
  private readonly clock = new ExplorerClock(EPOCH_MS);

  private readonly database: ExplorerDatabase;

  private readonly requests: StoreRequest[] = [];

  private readonly messages: Message[] = [];

  private readonly daemons: Daemon[];

  private pendingSteps: PendingStep[] = [];

  private readonly executions: string[] = [];

  private remainingTicks: number;

  private remainingAttempts: number;

  private isHandoverPending: boolean;

  private key: string | undefined;

  private violated: string | undefined;

  constructor(private readonly model: OneShotCase) {
    this.remainingTicks = model.ticks;
    this.remainingAttempts = model.attempts;
    this.isHandoverPending = model.hasHandover ?? false;
    this.database = new ExplorerDatabase(model.isStoreComparing);
    const members = model.daemons.map((name, index) =>
      createMember(name, name, `dc${index}`, SERVICE, index),
    );
    this.database.swap(RECORD_KEY, 0, JSON.stringify(OneShotSystem.firstRecord(members)));
    this.daemons = members.map((member) => this.createDaemon(member, members));
    this.daemons.forEach(({ manager }) => manager.start());
  }

  settle(): Promise<void> {
    return this.clock.settle();
  }

  violation(): string | undefined {
    return this.violated;
  }

  steps(): Step[] {
    return [
      ...this.messages.flatMap((message, index) => OneShotSystem.messageSteps(message, index)),
      ...this.requests.flatMap((request, index) => this.storeSteps(request, index)),
      ...this.pendingSteps.map(({ name, go }) => ({ name, take: go })),
      ...this.attemptSteps(),
      ...this.handoverSteps(),
      ...this.tickSteps(),
    ];
  }

  fingerprint(): string {
    const messages = this.messages.filter(({ phase }) => phase !== 'done');
    const requests = this.requests.filter(({ isApplied, isAnswered, isWrite }) =>
      isWrite ? !isApplied || !isAnswered : !isAnswered,
    );
    return JSON.stringify([
      this.clock.now(),
      this.remainingAttempts,
      this.isHandoverPending,
      this.database.rows.get(RECORD_KEY),
      messages.map(({ from, to, text, phase }) => `${from}${to}${text}${phase}`).sort(),
      requests.map((request) => JSON.stringify(request)).sort(),
      this.pendingSteps.map(({ name }) => name),
      this.executions,
      this.daemons.map(({ manager }) => fingerprintOf(manager)),
    ]);
  }

  private static firstRecord([home, deputy]: Member[]): ShardRecord {
    const holder = (member: Member | undefined): ShardRecord['home'] => {
      const { incarnation, address, peerPort } = member as Member;
      return { incarnation, address, peerPort };
    };
    return { shards: 1, home: holder(home), deputy: holder(deputy), since: 0, handover: null };
  }

  private createDaemon(member: Member, members: Member[]): Daemon {
    const methods = new Map<string, PeerMethod>();
    const { model, clock } = this;
    const manager = new ShardManager({
      self: member,
      service: SERVICE,
      shards: 1,
      store: new ExplorerStore(member.incarnation, this.database, this.requests),
      peers: {
        call: (to, method, params) => this.send(member.incarnation, to.port, method, params),
        close: () => Promise.resolve(),
      },
      methods: { register: (method, handler) => methods.set(method, handler) },
      directory: createStaticDirectory(() => members),
      clock,
      random: createSeededRandom(1),
      logger: silentLogger,
      onClaims: () => undefined,
      timing: {
        ...defaultAtMostOnceTiming,
        homeLeaseMs: HOME_LEASE_TICKS * TICK_MS,
        homeLeaseIntervalMs: TICK_MS,
        homeLeaseMarginMs: 0,
        deputyTimeoutMs: model.deputyTimeoutTicks ? model.deputyTimeoutTicks * TICK_MS : NEVER_MS,
        maxClockSkewMs: 0,
        refreshIntervalMs: NEVER_MS,
        recordChangeWaitMs: 0,
        drainTimeoutMs: 0,
      },
      limits: defaultOutcomeTableLimits,
      createHome: model.createHome ?? createShardHome,
      createDeputy: model.createDeputy ?? createShardDeputy,
    });
    return { member, manager, methods };
  }

  private send<T>(
    from: string,
    toPort: number,
    method: string,
    params: unknown,
  ): Promise<Result<T, Failure>> {
    const receiver = this.daemons[toPort];
    return new Promise((resolve) => {
      let result: T;
      const message: Message = {
        from,
        to: receiver?.member.incarnation ?? '',
        text: `${method} ${JSON.stringify(params)} ${this.clock.now()}`,
        phase: 'asked',
        handle: () => {
          message.phase = 'answered';
          receiver?.methods
            .get(method)?.(params)
            .then((answer) => {
              result = answer as T;
            })
            .catch(() => undefined);
          this.dropOldest('answered', MAX_RESPONSES_IN_FLIGHT, message);
        },
        respond: () => {
          message.phase = 'done';
          resolve(Ok(result));
        },
      };
      this.messages.push(message);
      this.dropOldest('asked', MAX_REQUESTS_IN_FLIGHT, message);
    });
  }

  /** Drops the oldest messages between two daemons beyond the limit, to bound the states. */
  private dropOldest(phase: Message['phase'], limit: number, { from, to }: Message): void {
    const inFlight = this.messages.filter(
      (message) => message.phase === phase && message.from === from && message.to === to,
    );
    inFlight.slice(0, Math.max(0, inFlight.length - limit)).forEach((message) => {
      Object.assign(message, { phase: 'done' });
    });
  }

  private static messageSteps(message: Message, index: number): Step[] {
    if (message.phase === 'asked') {
      return [{ name: `m${index} from ${message.from} arrives`, take: message.handle }];
    }
    if (message.phase === 'answered') {
      return [{ name: `m${index} is answered to ${message.from}`, take: message.respond }];
    }
    return [];
  }

  private storeSteps(request: StoreRequest, index: number): Step[] {
    const name = `store request ${index} of ${request.from}`;
    if (!request.isWrite && !this.model.hasStaleReads) {
      const take = (): void => {
        request.apply();
        request.respond();
      };
      return request.isAnswered ? [] : [{ name: `${name} reads`, take }];
    }
    const steps: Step[] = [];
    if (!request.isApplied && (request.isWrite || !request.isAnswered)) {
      steps.push({ name: `${name} takes effect`, take: request.apply });
    }
    if (request.isApplied && !request.isAnswered) {
      steps.push({ name: `${name} is answered`, take: request.respond });
    }
    if (request.isWrite && !request.isAnswered) {
      steps.push({ name: `${name} gets no answer`, take: request.loseResponse });
    }
    return steps;
  }

  private tickSteps(): Step[] {
    if (this.remainingTicks === 0) return [];
    const take = (): void => {
      this.remainingTicks -= 1;
      this.clock.advance(TICK_MS);
    };
    return [{ name: 'a tick passes', take }];
  }

  private handoverSteps(): Step[] {
    const [first] = this.daemons;
    if (!this.isHandoverPending || !first) return [];
    const take = (): void => {
      this.isHandoverPending = false;
      first.manager.leave().catch(() => undefined);
    };
    return [{ name: `${first.member.incarnation} leaves`, take }];
  }

  private attemptSteps(): Step[] {
    if (this.remainingAttempts === 0) return [];
    const homes = this.daemons.filter(({ manager }) => manager.localShards.homes.has(0));
    return homes.map((daemon) => ({
      name: `attempt at ${daemon.member.incarnation}`,
      take: () => this.attempt(daemon),
    }));
  }

  private attempt({ member, manager }: Daemon): void {
    this.remainingAttempts -= 1;
    this.key ??= mintKey(this.clock, createSeededRandom(2));
    const name = member.incarnation;
    manager.localShards.homes
      .get(0)
      ?.execute(this.key, this.executeAt(name))
      .then((outcome) => this.checkOutcome(name, outcome))
      .catch((error: Error) => {
        this.violated = error.message;
      });
  }

  private executeAt(name: string): Execute {
    return async (bounds) => {
      await this.wait(`the call at ${name} is sent`);
      const withinMs = bounds.beginWithinMs();
      if (withinMs <= 0) {
        return Err(createFailure(ResultCode.notRunHomeUnavailable, 'the home lease has expired'));
      }
      const latestStart = this.clock.now() + withinMs;
      if (this.model.targetStart !== 'atOnce') await this.wait(`the target of ${name} starts`);
      const late = this.clock.now() >= latestStart;
      if (late && this.model.targetStart === 'delayedWithLatestStart') {
        return Err(createFailure(ResultCode.notRunTargetRefused, 'too late to start'));
      }
      this.recordExecution(name);
      return Ok({ status: 200, headers: {}, body: Buffer.alloc(0) });
    };
  }

  private wait(name: string): Promise<void> {
    return new Promise((resolve) => {
      const waiting: PendingStep = {
        name,
        go: () => {
          this.pendingSteps = this.pendingSteps.filter((other) => other !== waiting);
          resolve();
        },
      };
      this.pendingSteps.push(waiting);
    });
  }

  private recordExecution(name: string): void {
    this.executions.push(name);
    const entry = this.database.rows.get(RECORD_KEY);
    const record = JSON.parse(entry?.value ?? '{}') as ShardRecord;
    if (this.executions.length > 1) this.violated = `the key ran at ${this.executions.join(', ')}`;
    else if (record.home.incarnation !== name) {
      this.violated = `${name} ran the key, but the record names ${record.home.incarnation}`;
    }
  }

  private checkOutcome(name: string, outcome: CallOutcome): void {
    if (outcome.isErr() && isNotRun(outcome.error.code) && this.executions.length > 0) {
      this.violated = `${name} said ${outcome.error.name}, but the key ran`;
    }
  }
}
