/* eslint-disable max-classes-per-file -- the ways are compared line by line */
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

function refused(): CallOutcome {
  return Err(createFailure(ResultCode.notRunHomeUnavailable, 'not sure to be the only one'));
}

function unknown(): CallOutcome {
  return Err(createFailure(ResultCode.unknownKeyMayHaveRun, 'the key may have run'));
}

/** A way to run each key at most once. */
export abstract class OneShotWay {
  /** Executions of each key. */
  readonly executions = new Map<string, number>();

  readonly store = new MemoryStore(systemClock, new MemoryDatabase(systemClock));

  abstract readonly name: string;

  constructor() {
    this.store.setSlow(STORE_LATENCY_MS);
  }

  /** Resolves when calls can be made. */
  abstract start(): Promise<void>;

  /** One attempt of a key. */
  abstract attempt(key: string): Promise<CallOutcome>;

  abstract stop(): Promise<void>;

  /** Writes to the store so far. */
  writes(): number {
    return this.store.counts.writes;
  }

  protected async run(key: string): Promise<CallOutcome> {
    this.executions.set(key, (this.executions.get(key) ?? 0) + 1);
    await systemClock.sleep(WORK_MS);
    return Ok({ status: 200, headers: {}, body: Buffer.from('done') });
  }
}

/** No protection: what every other way is compared with. */
export class DirectWay extends OneShotWay {
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

/** A home and a deputy, as the daemons do it. */
export class HomesWay extends OneShotWay {
  readonly name = 'homes';

  private readonly members = ['a', 'b'].map((host, index) =>
    createMember(host, host, host, 'payments', index),
  );

  private readonly sessions = [this.store, this.store.session()];

  private parts: AtMostOnceExecutor[] = [];

  async start(): Promise<void> {
    const network = new PeerNetwork(systemClock);
    this.sessions.forEach((session) => session.setSlow(STORE_LATENCY_MS));
    this.parts = this.members.map((member, index) => this.createPart(member, index, network));
    this.parts.forEach((part) => part.start());
    while (!this.home()) await systemClock.sleep(CHECK_MS);
  }

  async attempt(key: string): Promise<CallOutcome> {
    return (await this.home()?.execute(key, () => this.run(key))) ?? refused();
  }

  async stop(): Promise<void> {
    await Promise.all(this.parts.map((part) => part.stop()));
  }

  override writes(): number {
    return this.sessions.reduce((sum, session) => sum + session.counts.writes, 0);
  }

  /** Takes the store away from both daemons. */
  setStoreDown(down: boolean): void {
    this.sessions.forEach((session) => session.setDown(down));
  }

  private home(): AtMostOnceExecutor | undefined {
    return this.parts.find((part) => part.status().some(({ serving }) => serving));
  }

  private createPart(member: Member, index: number, network: PeerNetwork): AtMostOnceExecutor {
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
export class RecordWay extends OneShotWay {
  readonly name = 'record per call';

  // eslint-disable-next-line class-methods-use-this
  async start(): Promise<void> {
    // Nothing is kept between calls.
  }

  async attempt(key: string): Promise<CallOutcome> {
    const name = `calls/${key}`;
    const begun = await this.store.swap(name, 0, 'begun');
    if (begun.isErr()) {
      return begun.error.code === ResultCode.storeUnavailable ? refused() : unknown();
    }
    if (!begun.value.swapped) return unknown();
    const outcome = await this.run(key);
    await this.store.swap(name, begun.value.current?.modRevision ?? 0, 'finished');
    return outcome;
  }

  async stop(): Promise<void> {
    await this.store.close();
  }
}

/** A lease in the store for each shard; its holder keeps the table of keys. */
export class LeaseWay extends OneShotWay {
  readonly name = 'lease per shard';

  private readonly table = new Map<string, Promise<CallOutcome>>();

  private heldUntil = -Infinity;

  private stopped = false;

  private renewals: Promise<void> | undefined;

  async start(): Promise<void> {
    const lease = (await this.store.grantLease(LEASE_SECONDS)).unwrap();
    await this.store.swap('homes/0', 0, 'me', lease);
    await this.renew(lease);
    this.renewals = this.keepRenewing(lease);
  }

  async attempt(key: string): Promise<CallOutcome> {
    const kept = this.table.get(key);
    if (kept) return kept;
    if (systemClock.now() >= this.heldUntil) return refused();
    const running = this.run(key);
    this.table.set(key, running);
    return running;
  }

  async stop(): Promise<void> {
    this.stopped = true;
    await this.renewals;
  }

  private async keepRenewing(lease: string): Promise<void> {
    while (!this.stopped) {
      await systemClock.sleep(LEASE_RENEWAL_MS);
      await this.renew(lease);
    }
  }

  private async renew(lease: string): Promise<void> {
    const asked = systemClock.now();
    const kept = await this.store.renewLease(lease);
    if (kept.isOk() && kept.value > 0) this.heldUntil = asked + LEASE_SECONDS * 1000;
  }
}
