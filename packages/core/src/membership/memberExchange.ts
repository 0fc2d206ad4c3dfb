import type { Member } from './member.js';
import { FINAL_VERSION } from './memberUpdate.js';
import type { MemberUpdate } from './memberUpdate.js';
import { MembershipMethod, peerAddressOf } from './membershipContext.js';
import type { PiggybackedValue, MembershipContext } from './membershipContext.js';
import type { PeerAddress } from '../peers/peer.js';

/** Timeout of an exchange, in milliseconds. */
export const EXCHANGE_TIMEOUT_MS = 1000;

interface ExchangeMessage {
  incarnation: string;
  version: number;
  from: PeerAddress;
  news: MemberUpdate[];
  rootHash: number;
  carried: Record<string, number>;
}

interface ExchangeResponse extends ExchangeMessage {
  /** True if the responder does not hold the sender's record at its current version. */
  unknownSender: boolean;
}

/** Result of an exchange. */
export interface ExchangeOutcome {
  hasResponse: boolean;
  /** True if both tables have the same root hash. */
  hasEqualTables: boolean;
}

/** Exchanges member updates with another daemon; also serves as the direct probe. */
export interface MemberExchange {
  /** Exchanges updates with the daemon at `to`; sends `extra` in addition to queued updates. */
  exchange(to: PeerAddress, extra?: MemberUpdate[]): Promise<ExchangeOutcome>;
  /** Exchanges updates with a member; declares it gone if another incarnation has its address. */
  exchangeWith(member: Member, extra?: MemberUpdate[]): Promise<ExchangeOutcome>;
  /** Registers a value that is piggybacked on every exchange. */
  piggyback(value: PiggybackedValue): void;
}

/** Creates the exchange and registers its method. */
export function createMemberExchange(context: MembershipContext): MemberExchange {
  const { clock, peers, methods, table, queue } = context;
  const piggybackedValues: PiggybackedValue[] = [];

  function readPiggybackedValues(): Record<string, number> {
    return Object.fromEntries(piggybackedValues.map((entry) => [entry.name, entry.value()]));
  }

  function deliverPiggybackedValues(message: ExchangeMessage): void {
    piggybackedValues.forEach((entry) => {
      const value = message.carried[entry.name];
      if (value !== undefined) entry.received(message.from, value);
    });
  }

  function createMessage(updates: MemberUpdate[]): ExchangeMessage {
    const { incarnation, version } = context.self();
    return {
      incarnation,
      version,
      from: peerAddressOf(context.self()),
      news: updates,
      rootHash: table.rootHash(),
      carried: readPiggybackedValues(),
    };
  }

  /** Gone update for a sender that this daemon holds as gone, so that it can overrule it. */
  function updatesAboutSender(message: ExchangeMessage): MemberUpdate[] {
    const tombstone = table.tombstoneOf(message.incarnation);
    if (!tombstone || tombstone.version < message.version) return [];
    const update = table.updateOf(message.incarnation, clock.now());
    return update ? [update] : [];
  }

  async function handleExchange(params: unknown): Promise<ExchangeResponse> {
    const message = params as ExchangeMessage;
    const newer = context.receive(message.news);
    deliverPiggybackedValues(message);
    const known = table.liveOf(message.incarnation);
    const updates = [...updatesAboutSender(message), ...newer, ...queue.take(message.news)];
    return { ...createMessage(updates), unknownSender: (known?.version ?? -1) < message.version };
  }

  methods.register(MembershipMethod.exchange, handleExchange);

  async function send(
    to: PeerAddress,
    updates: MemberUpdate[],
  ): Promise<ExchangeResponse | undefined> {
    const result = await peers.call<ExchangeResponse>(
      to,
      MembershipMethod.exchange,
      createMessage(updates),
      EXCHANGE_TIMEOUT_MS,
    );
    if (!result.isOk() || context.stopped.aborted) return undefined;
    context.receive(result.value.news);
    deliverPiggybackedValues(result.value);
    return result.value;
  }

  function ownUpdate(): MemberUpdate {
    return { kind: 'alive', member: context.self() };
  }

  async function exchangeOnce(
    to: PeerAddress,
    extra: MemberUpdate[],
  ): Promise<ExchangeResponse | undefined> {
    const first = await send(to, [...extra, ...queue.take(extra)]);
    if (!first?.unknownSender) return first;
    return send(to, [ownUpdate()]);
  }

  function outcomeOf(response: ExchangeResponse | undefined): ExchangeOutcome {
    return {
      hasResponse: response !== undefined,
      hasEqualTables: response?.rootHash === table.rootHash(),
    };
  }

  return {
    exchange: async (to, extra = []) => outcomeOf(await exchangeOnce(to, extra)),
    exchangeWith: async (member, extra = []) => {
      const response = await exchangeOnce(peerAddressOf(member), extra);
      if (response && response.incarnation !== member.incarnation) {
        // Another incarnation responds at the address, so this one has ended.
        const { incarnation } = member;
        context.receive([{ kind: 'gone', incarnation, version: FINAL_VERSION, ageMs: 0 }]);
      }
      return outcomeOf(response);
    },
    piggyback: (value) => piggybackedValues.push(value),
  };
}
