import { ResultCode, createFailure } from '@shallotcroft/core';
import type {
  Clock,
  Failure,
  PeerAddress,
  PeerCaller,
  PeerMethod,
  PeerMethods,
} from '@shallotcroft/core';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** One end on a `MemoryNetwork`. */
export interface MemoryPeer extends PeerCaller, PeerMethods {
  /** Takes the daemon off the network, as when its host dies. */
  detach(): void;
}

/** One message that was carried, with the sizes of its JSON. */
export interface CarriedMessage {
  from: PeerAddress;
  to: PeerAddress;
  method: string;
  requestBytes: number;
  answerBytes: number;
}

/** Says whether a message of `from` reaches `to`. */
export type Reach = (from: PeerAddress, to: PeerAddress) => boolean;

function keyOf({ address, port }: PeerAddress): string {
  return `${address}:${port}`;
}

/** Control messages in one process: serialised as between hosts, with faults that are set. */
export class MemoryNetwork {
  private readonly methods = new Map<string, Map<string, PeerMethod>>();

  /** Messages and answers get through where this says so; everywhere when undefined. */
  reach: Reach | undefined;

  /** Called after each message that was answered. */
  onMessage: ((message: CarriedMessage) => void) | undefined;

  constructor(private readonly clock: Clock) {}

  /** Puts a daemon on the network; it takes the place of one that had the address before. */
  attach(at: PeerAddress): MemoryPeer {
    const key = keyOf(at);
    const own = new Map<string, PeerMethod>();
    this.methods.set(key, own);
    const isAttached = (): boolean => this.methods.get(key) === own;
    return {
      call: (to, method, params, timeoutMs) =>
        this.carry(at, to, method, params, timeoutMs, isAttached),
      register: (method, handler) => own.set(method, handler),
      close: async () => undefined,
      detach: () => {
        if (isAttached()) this.methods.delete(key);
      },
    };
  }

  private async carry<T>(
    from: PeerAddress,
    to: PeerAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
    isAttached: () => boolean,
  ): Promise<Result<T, Failure>> {
    const request = JSON.stringify(params);
    const answer = isAttached() ? await this.deliver(from, to, method, request) : undefined;
    // The answer is lost when its way is cut, or either end has died meanwhile.
    if (answer === undefined || !this.isOpen(to, from) || !isAttached()) {
      await this.clock.sleep(timeoutMs);
      const message = `${method} at ${keyOf(to)}: no answer within ${timeoutMs} ms`;
      return Err(createFailure(ResultCode.daemonUnreachable, message));
    }
    const requestBytes = Buffer.byteLength(request);
    const answerBytes = Buffer.byteLength(answer);
    this.onMessage?.({ from, to, method, requestBytes, answerBytes });
    return Ok(JSON.parse(answer) as T);
  }

  private async deliver(
    from: PeerAddress,
    to: PeerAddress,
    method: string,
    request: string,
  ): Promise<string | undefined> {
    const handler = this.methods.get(keyOf(to))?.get(method);
    if (!handler || !this.isOpen(from, to)) return undefined;
    const answer = JSON.stringify((await handler(JSON.parse(request))) ?? null);
    // A daemon that died while it worked answers nothing.
    return this.methods.get(keyOf(to))?.get(method) === handler ? answer : undefined;
  }

  private isOpen(from: PeerAddress, to: PeerAddress): boolean {
    return this.reach?.(from, to) ?? true;
  }
}
