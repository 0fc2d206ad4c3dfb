/* eslint-disable max-classes-per-file -- the variants are meant to be compared side by side */
import {
  MemoryDatabase,
  MemoryStore,
  ResultCode,
  createFailure,
  createAtMostOnceExecutor,
  silentLogger,
  systemClock,
  systemRandom,
} from '@shallotcroft/core';
import type { CallOutcome, Member, AtMostOnceExecutor } from '@shallotcroft/core';
import {
  PausableClock,
  PeerNetwork,
  createMember,
  createStaticDirectory,
} from '@shallotcroft/playground';
import { Err, Ok } from 'ts-results-es';

const STORE_LATENCY_MS = 3;
const WORK_MS = 2;
const LEASE_SECONDS = 1;
const LEASE_RENEWAL_MS = 300;
const CHECK_MS = 20;

function rejection(): CallOutcome {
  return Err(
    createFailure(
      ResultCode.notRunHomeUnavailable,
      'this daemon cannot be sure to be the only holder of the shard',
    ),
  );
}

function unknownOutcome(): CallOutcome {
  return Err(createFailure(ResultCode.unknownKeyMayHaveRun, 'the key may have run'));
}

/** One variant of at-most-once execution, with its own store and simulated work. */
export abstract class OneShotVariant {
  /** Number of executions of each key. */
  readonly executions = new Map<string, number>();

  readonly store = new MemoryStore(systemClock, new MemoryDatabase(systemClock));

  abstract readonly name: string;

  constructor() {
    this.store.setSlow(STORE_LATENCY_MS);
  }

  /** Resolves when the variant accepts calls. */
  abstract start(): Promise<void>;

  /** Makes one attempt of a call with this key. */
  abstract attempt(key: string): Promise<CallOutcome>;

  abstract stop(): Promise<void>;

  /** Returns the number of writes to the store so far. */
  writes(): number {
    return this.store.counts.writes;
  }

  protected async run(key: string): Promise<CallOutcome> {
    this.executions.set(key, (this.executions.get(key) ?? 0) + 1);
    await systemClock.sleep(WORK_MS);
    return Ok({ status: 200, headers: {}, body: Buffer.from('done') });
  }
}

/** No protection against double execution: the baseline of the comparison. */
export class DirectVariant extends OneShotVariant {
  readonly name = 'direct';

  async start(): Promise<void> {
    this.store.setSlow(0);
  }

  attempt(key: string): Promise<CallOutcome> {
    return this.run(key);
  }

  async stop(): Promise<void> {
    await this.store.close();
  }
}

/** A home and a deputy for the shard, as in the daemons. */
export class HomesVariant extends OneShotVariant {
  readonly name = 'homes';

  private readonly members = ['a', 'b'].map((host, index) =>
    createMember(host, host, host, 'payments', index),
  );

  private readonly sessions = [this.store, this.store.session()];

  private executors: AtMostOnceExecutor[] = [];

  async start(): Promise<void> {
    const network = new PeerNetwork(systemClock);
    this.sessions.forEach((session) => session.setSlow(STORE_LATENCY_MS));
    this.executors = this.members.map((member, index) =>
      this.createExecutor(member, index, network),
    );
    this.executors.forEach((part) => part.start());
    while (!this.home()) await systemClock.sleep(CHECK_MS);
  }

  async attempt(key: string): Promise<CallOutcome> {
    return (await this.home()?.execute(key, () => this.run(key))) ?? rejection();
  }

  async stop(): Promise<void> {
    await Promise.all(this.executors.map((part) => part.stop()));
  }

  override writes(): number {
    return this.sessions.reduce((sum, session) => sum + session.counts.writes, 0);
  }

  /** Makes the store unavailable to both daemons, or available again. */
  setStoreDown(down: boolean): void {
    this.sessions.forEach((session) => session.setDown(down));
  }

  private home(): AtMostOnceExecutor | undefined {
    return this.executors.find((part) => part.status().some(({ serving }) => serving));
  }

  private createExecutor(member: Member, index: number, network: PeerNetwork): AtMostOnceExecutor {
    return createAtMostOnceExecutor({
      self: member,
      service: 'payments',
      shards: 1,
      store: this.sessions[index] as MemoryStore,
      ...network.connect(index, new PausableClock(systemClock)),
      directory: createStaticDirectory(() => this.members),
      clock: systemClock,
      random: systemRandom,
      logger: silentLogger,
      onClaims: () => undefined,
    });
  }
}

/** A record for each call in the store: one write before the call and one after it. */
export class RecordVariant extends OneShotVariant {
  readonly name = 'record per call';

  // eslint-disable-next-line class-methods-use-this
  async start(): Promise<void> {
    // Needs no state besides the records of the calls.
  }

  async attempt(key: string): Promise<CallOutcome> {
    const name = `calls/${key}`;
    const begun = await this.store.swap(name, 0, 'begun');
    if (begun.isErr()) {
      return begun.error.code === ResultCode.storeUnavailable ? rejection() : unknownOutcome();
    }
    if (!begun.value.swapped) return unknownOutcome();
    const outcome = await this.run(key);
    await this.store.swap(name, begun.value.current?.modRevision ?? 0, 'finished');
    return outcome;
  }

  async stop(): Promise<void> {
    await this.store.close();
  }
}

/** A lease in the store for each shard; its holder keeps the outcomes by key in memory. */
export class LeaseVariant extends OneShotVariant {
  readonly name = 'lease per shard';

  private readonly outcomes = new Map<string, Promise<CallOutcome>>();

  private heldUntil = -Infinity;

  private isStopped = false;

  private renewals: Promise<void> | undefined;

  async start(): Promise<void> {
    const lease = (await this.store.grantLease(LEASE_SECONDS)).unwrap();
    await this.store.swap('homes/0', 0, 'me', lease);
    await this.renew(lease);
    this.renewals = this.keepRenewing(lease);
  }

  async attempt(key: string): Promise<CallOutcome> {
    const known = this.outcomes.get(key);
    if (known) return known;
    if (systemClock.now() >= this.heldUntil) return rejection();
    const running = this.run(key);
    this.outcomes.set(key, running);
    return running;
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await this.renewals;
  }

  private async keepRenewing(lease: string): Promise<void> {
    while (!this.isStopped) {
      await systemClock.sleep(LEASE_RENEWAL_MS);
      await this.renew(lease);
    }
  }

  private async renew(lease: string): Promise<void> {
    const sentAt = systemClock.now();
    const renewed = await this.store.renewLease(lease);
    if (renewed.isOk() && renewed.value > 0) this.heldUntil = sentAt + LEASE_SECONDS * 1000;
  }
}
