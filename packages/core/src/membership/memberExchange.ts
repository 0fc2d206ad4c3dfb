import type { Member } from './member.js';
import { FINAL_VERSION } from './memberUpdate.js';
import type { MemberUpdate } from './memberUpdate.js';
import { MembershipMethod, peerAddressOf } from './membershipContext.js';
import type { PiggybackedValue, MembershipContext } from './membershipContext.js';
import type { PeerAddress } from '../peers/peer.js';

/** How long an answer to an exchange may take, in milliseconds. */
export const EXCHANGE_TIMEOUT_MS = 1000;

interface ExchangeMessage {
  incarnation: string;
  version: number;
  from: PeerAddress;
  news: MemberUpdate[];
  rootHash: number;
  carried: Record<string, number>;
}

interface ExchangeAnswer extends ExchangeMessage {
  /** The record of the sender is not known here. */
  unknownSender: boolean;
}

/** What became of an exchange. */
export interface ExchangeOutcome {
  answered: boolean;
  /** Both tables were equal. */
  equal: boolean;
}

/** Tells news to one daemon and hears its news; serves as the probe as well. */
export interface MemberExchange {
  /** Exchanges news with the daemon at `to`, with `extra` news besides the rumours. */
  exchange(to: PeerAddress, extra?: MemberUpdate[]): Promise<ExchangeOutcome>;
  /** Exchanges news with a member; notices when another incarnation has its address. */
  exchangeWith(member: Member, extra?: MemberUpdate[]): Promise<ExchangeOutcome>;
  /** Adds a value that rides on every exchange. */
  carry(carried: PiggybackedValue): void;
}

/** Makes the exchange and registers its method. */
export function createMemberExchange(context: MembershipContext): MemberExchange {
  const { clock, peers, methods, table, queue } = context;
  const carriers: PiggybackedValue[] = [];

  function carriedValues(): Record<string, number> {
    return Object.fromEntries(carriers.map((carrier) => [carrier.name, carrier.value()]));
  }

  function hearCarried(message: ExchangeMessage): void {
    carriers.forEach((carrier) => {
      const value = message.carried[carrier.name];
      if (value !== undefined) carrier.received(message.from, value);
    });
  }

  function messageWith(updates: MemberUpdate[]): ExchangeMessage {
    const { incarnation, version } = context.self();
    return {
      incarnation,
      version,
      from: peerAddressOf(context.self()),
      news: updates,
      rootHash: table.rootHash(),
      carried: carriedValues(),
    };
  }

  /** What the sender should hear about itself, if it is taken for gone here. */
  function updatesAboutSender(message: ExchangeMessage): MemberUpdate[] {
    const tombstone = table.tombstoneOf(message.incarnation);
    if (!tombstone || tombstone.version < message.version) return [];
    const update = table.updateOf(message.incarnation, clock.now());
    return update ? [update] : [];
  }

  async function answer(params: unknown): Promise<ExchangeAnswer> {
    const message = params as ExchangeMessage;
    const better = context.receive(message.news);
    hearCarried(message);
    const known = table.liveOf(message.incarnation);
    const updates = [...updatesAboutSender(message), ...better, ...queue.take(message.news)];
    return { ...messageWith(updates), unknownSender: (known?.version ?? -1) < message.version };
  }

  methods.register(MembershipMethod.exchange, answer);

  async function send(
    to: PeerAddress,
    updates: MemberUpdate[],
  ): Promise<ExchangeAnswer | undefined> {
    const result = await peers.call<ExchangeAnswer>(
      to,
      MembershipMethod.exchange,
      messageWith(updates),
      EXCHANGE_TIMEOUT_MS,
    );
    if (!result.isOk() || context.stopped.aborted) return undefined;
    context.receive(result.value.news);
    hearCarried(result.value);
    return result.value;
  }

  function ownUpdate(): MemberUpdate {
    return { kind: 'alive', member: context.self() };
  }

  async function exchangeOnce(
    to: PeerAddress,
    extra: MemberUpdate[],
  ): Promise<ExchangeAnswer | undefined> {
    const first = await send(to, [...extra, ...queue.take(extra)]);
    if (!first?.unknownSender) return first;
    return send(to, [ownUpdate()]);
  }

  function outcomeOf(received: ExchangeAnswer | undefined): ExchangeOutcome {
    return { answered: received !== undefined, equal: received?.rootHash === table.rootHash() };
  }

  return {
    exchange: async (to, extra = []) => outcomeOf(await exchangeOnce(to, extra)),
    exchangeWith: async (member, extra = []) => {
      const received = await exchangeOnce(peerAddressOf(member), extra);
      if (received && received.incarnation !== member.incarnation) {
        // Another run of the daemon answers at its address, so this one has ended.
        const { incarnation } = member;
        context.receive([{ kind: 'gone', incarnation, version: FINAL_VERSION, ageMs: 0 }]);
      }
      return outcomeOf(received);
    },
    carry: (carried) => carriers.push(carried),
  };
}
