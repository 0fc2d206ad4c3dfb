import type {
  Clock,
  Directory,
  Member,
  PeerAddress,
  PeerCaller,
  PeerMethods,
} from '@shallotcroft/core';

const EXCHANGE_INTERVAL_MS = 200;
const EXCHANGE_TIMEOUT_MS = 1000;

/** Membership that exchanges whole tables with the bootstrap daemons, until the real one lands. */
export class ProvisionalMembership implements Directory {
  private readonly table = new Map<string, Member>();

  private readonly listeners = new Set<() => void>();

  private readonly stopping = new AbortController();

  constructor(
    private self: Member,
    private readonly options: {
      clock: Clock;
      peers: PeerCaller;
      methods: PeerMethods;
      bootstrap: PeerAddress[];
    },
  ) {
    this.merge([self]);
    options.methods.register('membership.exchange', async (params) => {
      this.merge(params as Member[]);
      return this.members();
    });
  }

  targetsOf(service: string): Member[] {
    return this.members().filter((m) => m.service === service && m.state === 'serving');
  }

  members(): Member[] {
    return [...this.table.values()];
  }

  memberOf(incarnation: string): Member | undefined {
    return this.table.get(incarnation);
  }

  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  update(change: Partial<Member>): void {
    this.self = { ...this.self, ...change, version: this.self.version + 1 };
    this.merge([this.self]);
    this.exchange().catch(() => undefined);
  }

  async start(): Promise<void> {
    this.run().catch(() => undefined);
  }

  async stop(): Promise<void> {
    this.stopping.abort(new Error('stopped'));
  }

  private async run(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      await this.exchange();
      await this.options.clock.sleep(EXCHANGE_INTERVAL_MS, this.stopping.signal);
    }
  }

  private async exchange(): Promise<void> {
    for (const peer of this.options.bootstrap) {
      const answer = await this.options.peers.call<Member[]>(
        peer,
        'membership.exchange',
        this.members(),
        EXCHANGE_TIMEOUT_MS,
      );
      if (answer.isOk()) this.merge(answer.value);
    }
  }

  private merge(members: Member[]): void {
    members.forEach((member) => {
      const known = this.table.get(member.incarnation);
      if (!known || known.version < member.version) this.table.set(member.incarnation, member);
    });
    this.listeners.forEach((listener) => listener());
  }
}
